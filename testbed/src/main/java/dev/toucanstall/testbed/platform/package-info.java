/**
 * A stand-in for the platform: its append-only log, its lagging instance list and its task
 * interface.
 */
@NullMarked
package dev.toucanstall.testbed.platform;

import org.jspecify.annotations.NullMarked;
