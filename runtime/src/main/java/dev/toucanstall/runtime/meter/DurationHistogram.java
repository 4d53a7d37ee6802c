package dev.toucanstall.runtime.meter;

/**
 * Histogram of durations in buckets of doubling length. One thread records, without locks or
 * allocation; any thread reads, and may miss the latest durations.
 */
public final class DurationHistogram {

  /** Number of buckets; the last one counts all durations from 33 s on. */
  public static final int BUCKET_COUNT = 27;

  private static final int NANOS_PER_MICRO = 1_000;

  private final long[] buckets = new long[BUCKET_COUNT];
  private long totalNanos;

  /** Written last and read first, so that readers see the other fields as of that count. */
  private volatile long count;

  private long intervalStartCount;
  private long intervalStartNanos;
  private long longestNanos;

  /**
   * Durations recorded between two calls of {@link #takeInterval}. Immutable.
   *
   * @param count number of durations
   * @param totalNanos sum of the durations, in nanoseconds
   * @param longestNanos the longest duration, in nanoseconds; 0 if none was recorded
   */
  public record Interval(long count, long totalNanos, long longestNanos) {

    /**
     * Returns the mean duration.
     *
     * @return the mean in nanoseconds, 0 if none was recorded
     */
    public long meanNanos() {
      return count == 0 ? 0 : totalNanos / count;
    }
  }

  /**
   * Records a duration; only for the recording thread.
   *
   * @param nanos the duration in nanoseconds; a negative one counts as 0
   */
  public void record(long nanos) {
    long duration = Math.max(0, nanos);
    buckets[bucketOf(duration)]++;
    totalNanos += duration;
    longestNanos = Math.max(longestNanos, duration);
    long newCount = count + 1;
    count = newCount;
  }

  private static int bucketOf(long nanos) {
    int bits = Long.SIZE - Long.numberOfLeadingZeros(nanos / NANOS_PER_MICRO);
    return Math.min(bits, BUCKET_COUNT - 1);
  }

  /**
   * Returns a summary of the durations recorded since the last call; only for the recording thread.
   *
   * @return the summary
   */
  public Interval takeInterval() {
    long currentCount = count;
    final Interval interval =
        new Interval(
            currentCount - intervalStartCount, totalNanos - intervalStartNanos, longestNanos);
    intervalStartCount = currentCount;
    intervalStartNanos = totalNanos;
    longestNanos = 0;
    return interval;
  }

  /**
   * Returns the number of recorded durations.
   *
   * @return the number of durations
   */
  public long count() {
    return count;
  }

  /**
   * Returns the sum of all durations.
   *
   * @return the sum in seconds
   */
  public double totalSeconds() {
    return count == 0 ? 0 : totalNanos / 1e9;
  }

  /**
   * Returns the number of durations below the upper bound of a bucket.
   *
   * @param bucketIndex index of the bucket, from 0
   * @return the number of durations
   */
  public long cumulativeCount(int bucketIndex) {
    long cumulative = count == 0 ? 0 : buckets[0];
    for (int i = 1; i <= bucketIndex; i++) {
      cumulative += buckets[i];
    }
    return cumulative;
  }

  /**
   * Returns the exclusive upper bound of a bucket.
   *
   * @param bucketIndex index of the bucket, from 0
   * @return the bound in seconds, infinite for the last bucket
   */
  public static double upperBoundSeconds(int bucketIndex) {
    return bucketIndex == BUCKET_COUNT - 1 ? Double.POSITIVE_INFINITY : (1L << bucketIndex) / 1e6;
  }
}
