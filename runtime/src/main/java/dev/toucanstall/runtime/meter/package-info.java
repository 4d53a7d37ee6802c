/** Histograms of durations at low cost: one thread records, any thread reads. */
@NullMarked
package dev.toucanstall.runtime.meter;

import org.jspecify.annotations.NullMarked;
