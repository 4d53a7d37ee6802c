package dev.toucanstall.runtime.meter;

import java.util.Comparator;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Counts durations by kind. One thread records; any thread reads. Kinds are names from the code, so
 * that there are only so many.
 */
public final class HistogramsByKind {

  /** How many kinds a summary names. */
  private static final int NAMED = 4;

  private final Map<String, DurationHistogram> meters = new ConcurrentHashMap<>();

  /**
   * What was recorded since the last look. Immutable.
   *
   * @param totalNanos the sum of all kinds in nanoseconds
   * @param longestNanos the longest in nanoseconds
   * @param longestKind its kind, empty if nothing was recorded
   * @param largestKinds the kinds that took most with their milliseconds, as in "Hold 12, Tick 3"
   */
  public record Interval(
      long totalNanos, long longestNanos, String longestKind, String largestKinds) {}

  /**
   * Records a duration; for the one thread that writes.
   *
   * @param kind the kind
   * @param nanos its length in nanoseconds
   */
  public void record(String kind, long nanos) {
    DurationHistogram meter = meters.get(kind);
    if (meter == null) {
      meter = new DurationHistogram();
      meters.put(kind, meter);
    }
    meter.record(nanos);
  }

  /**
   * Returns what was recorded since the last call, for the one thread that writes.
   *
   * @return the sum, the longest and the kinds that took most
   */
  public Interval takeInterval() {
    Map<String, DurationHistogram.Interval> recent = new TreeMap<>();
    meters.forEach((kind, meter) -> recent.put(kind, meter.takeInterval()));
    String longest = "";
    long longestNanos = 0;
    long totalNanos = 0;
    for (Map.Entry<String, DurationHistogram.Interval> entry : recent.entrySet()) {
      totalNanos += entry.getValue().totalNanos();
      if (entry.getValue().longestNanos() > longestNanos) {
        longestNanos = entry.getValue().longestNanos();
        longest = entry.getKey();
      }
    }
    return new Interval(totalNanos, longestNanos, longest, most(recent));
  }

  private static String most(Map<String, DurationHistogram.Interval> recent) {
    return recent.entrySet().stream()
        .filter(entry -> entry.getValue().count() > 0)
        .sorted(Comparator.comparingLong(entry -> -entry.getValue().totalNanos()))
        .limit(NAMED)
        .map(HistogramsByKind::text)
        .collect(Collectors.joining(", "));
  }

  private static String text(Map.Entry<String, DurationHistogram.Interval> entry) {
    return entry.getKey() + " " + TimeUnit.NANOSECONDS.toMillis(entry.getValue().totalNanos());
  }

  /**
   * Returns the meters by kind; they go on counting.
   *
   * @return the meters
   */
  public Map<String, DurationHistogram> asMap() {
    return new TreeMap<>(meters);
  }
}
