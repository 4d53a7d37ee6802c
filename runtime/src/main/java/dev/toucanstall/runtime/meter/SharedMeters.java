package dev.toucanstall.runtime.meter;

import java.util.Map;

/**
 * Counts durations by kind where several threads record. Thread-safe; not for the control thread.
 */
public final class SharedMeters {

  private final KindMeters meters = new KindMeters();

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
  public Map<String, DurationHistogram> byKind() {
    return meters.byKind();
  }
}
