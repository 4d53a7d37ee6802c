package dev.toucanstall.runtime.meter;

import java.util.Map;

/**
 * Counts durations by kind where several threads record. Thread-safe; not for the control thread.
 */
public final class SynchronizedHistogramsByKind {

  private final HistogramsByKind meters = new HistogramsByKind();

  /**
   * Records a duration.
   *
   * @param kind the kind
   * @param nanos its length in nanoseconds
   */
  public synchronized void record(String kind, long nanos) {
    meters.record(kind, nanos);
  }

  /**
   * Returns the meters by kind; they go on counting.
   *
   * @return the meters
   */
  public Map<String, DurationHistogram> asMap() {
    return meters.asMap();
  }
}
