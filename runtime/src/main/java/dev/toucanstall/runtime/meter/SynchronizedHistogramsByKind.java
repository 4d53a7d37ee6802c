package dev.toucanstall.runtime.meter;

import java.util.Map;

/**
 * Histograms of durations by kind for several recording threads. Thread-safe by a lock, and so not
 * for the control thread.
 */
public final class SynchronizedHistogramsByKind {

  private final HistogramsByKind histograms = new HistogramsByKind();

  /**
   * Records a duration.
   *
   * @param kind kind of the duration
   * @param nanos the duration in nanoseconds; a negative one counts as 0
   */
  public synchronized void record(String kind, long nanos) {
    histograms.record(kind, nanos);
  }

  /**
   * Returns the live histograms by kind.
   *
   * @return a copy of the map, whose histograms continue to change
   */
  public Map<String, DurationHistogram> asMap() {
    return histograms.asMap();
  }
}
