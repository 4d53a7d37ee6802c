/** Metrics, and error budgets of service-level objectives (burn). */
@NullMarked
package dev.toucanstall.entry.metrics;

import org.jspecify.annotations.NullMarked;
