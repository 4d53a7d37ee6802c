/**
 * Stand-in for the platform: an append-only log, an instance list that lags behind, and restarts of
 * instances.
 */
@NullMarked
package dev.toucanstall.testbed.platform;

import org.jspecify.annotations.NullMarked;
