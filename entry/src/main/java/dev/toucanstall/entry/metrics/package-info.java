/** Metrics and the burn of service-level objectives. */
@NullMarked
package dev.toucanstall.entry.metrics;

import org.jspecify.annotations.NullMarked;
