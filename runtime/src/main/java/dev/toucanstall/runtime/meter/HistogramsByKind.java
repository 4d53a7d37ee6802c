package dev.toucanstall.runtime.meter;

import java.util.Comparator;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Histograms of durations by kind. One thread records; any thread reads. Kinds are names from the
 * code, which bounds their number.
 */
public final class HistogramsByKind {

  private static final int MAX_LISTED_KINDS = 4;

  private final Map<String, DurationHistogram> histograms = new ConcurrentHashMap<>();

  /**
   * Durations recorded between two calls of {@link #takeInterval}. Immutable.
   *
   * @param totalNanos sum of all durations, in nanoseconds
   * @param longestNanos the longest duration, in nanoseconds; 0 if none was recorded
   * @param longestKind kind of the longest duration, empty if none was recorded
   * @param largestKinds up to four kinds with the largest sums, in milliseconds, as in "Hold 12,
   *     Tick 3"
   */
  public record Interval(
      long totalNanos, long longestNanos, String longestKind, String largestKinds) {}

  /**
   * Records a duration; only for the recording thread.
   *
   * @param kind kind of the duration
   * @param nanos the duration in nanoseconds; a negative one counts as 0
   */
  public void record(String kind, long nanos) {
    DurationHistogram histogram = histograms.get(kind);
    if (histogram == null) {
      histogram = new DurationHistogram();
      histograms.put(kind, histogram);
    }
    histogram.record(nanos);
  }

  /**
   * Returns a summary of the durations recorded since the last call; only for the recording thread.
   *
   * @return the summary
   */
  public Interval takeInterval() {
    Map<String, DurationHistogram.Interval> intervals = new TreeMap<>();
    histograms.forEach((kind, histogram) -> intervals.put(kind, histogram.takeInterval()));
    String longestKind = "";
    long longestNanos = 0;
    long totalNanos = 0;
    for (Map.Entry<String, DurationHistogram.Interval> entry : intervals.entrySet()) {
      totalNanos += entry.getValue().totalNanos();
      if (entry.getValue().longestNanos() > longestNanos) {
        longestNanos = entry.getValue().longestNanos();
        longestKind = entry.getKey();
      }
    }
    return new Interval(totalNanos, longestNanos, longestKind, largestKinds(intervals));
  }

  private static String largestKinds(Map<String, DurationHistogram.Interval> intervals) {
    return intervals.entrySet().stream()
        .filter(entry -> entry.getValue().count() > 0)
        .sorted(Comparator.comparingLong(entry -> -entry.getValue().totalNanos()))
        .limit(MAX_LISTED_KINDS)
        .map(HistogramsByKind::format)
        .collect(Collectors.joining(", "));
  }

  private static String format(Map.Entry<String, DurationHistogram.Interval> entry) {
    return entry.getKey() + " " + TimeUnit.NANOSECONDS.toMillis(entry.getValue().totalNanos());
  }

  /**
   * Returns the live histograms by kind.
   *
   * @return a copy of the map, whose histograms continue to change
   */
  public Map<String, DurationHistogram> asMap() {
    return new TreeMap<>(histograms);
  }
}
