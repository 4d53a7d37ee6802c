package dev.toucanstall.runtime.meter;

/**
 * Counts durations in buckets of doubling length. One thread records, without locks or allocation;
 * any thread reads, and may miss what was recorded a moment ago.
 */
public final class DurationHistogram {

  /** How many buckets there are; the last one takes all that is longer, from 33 s on. */
  public static final int BUCKET_COUNT = 27;

  private static final int NANOS_PER_MICRO = 1_000;

  private final long[] buckets = new long[BUCKET_COUNT];
  private long totalNanos;

  /** Written last, so that a reader of it sees what was recorded before. */
  private volatile long count;

  private long sinceCount;
  private long sinceNanos;
  private long longestNanos;

  /**
   * What was recorded since the last look. Immutable.
   *
   * @param count how many durations
   * @param totalNanos their sum in nanoseconds
   * @param longestNanos the longest in nanoseconds, 0 if there was none
   */
  public record Interval(long count, long totalNanos, long longestNanos) {

    /**
     * Returns the mean.
     *
     * @return nanoseconds, 0 if nothing was recorded
     */
    public long meanNanos() {
      return count == 0 ? 0 : totalNanos / count;
    }
  }

  /**
   * Records a duration; for the one thread that writes.
   *
   * @param nanos its length in nanoseconds; a negative one counts as 0
   */
  public void record(long nanos) {
    long length = Math.max(0, nanos);
    buckets[bucket(length)]++;
    totalNanos += length;
    longestNanos = Math.max(longestNanos, length);
    long next = count + 1;
    count = next;
  }

  private static int bucket(long nanos) {
    int bits = Long.SIZE - Long.numberOfLeadingZeros(nanos / NANOS_PER_MICRO);
    return Math.min(bits, BUCKET_COUNT - 1);
  }

  /**
   * Returns what was recorded since the last call, for the one thread that writes.
   *
   * @return the count, the sum and the longest
   */
  public Interval takeInterval() {
    long counted = count;
    final Interval recent =
        new Interval(counted - sinceCount, totalNanos - sinceNanos, longestNanos);
    sinceCount = counted;
    sinceNanos = totalNanos;
    longestNanos = 0;
    return recent;
  }

  /**
   * Returns how many durations were recorded.
   *
   * @return the number
   */
  public long count() {
    return count;
  }

  /**
   * Returns the sum of all durations.
   *
   * @return seconds
   */
  public double totalSeconds() {
    return count == 0 ? 0 : totalNanos / 1e9;
  }

  /**
   * Returns how many durations were shorter than the upper bound of a bucket.
   *
   * @param bucket the bucket, from 0
   * @return the number
   */
  public long cumulativeCount(int bucket) {
    long below = count == 0 ? 0 : buckets[0];
    for (int i = 1; i <= bucket; i++) {
      below += buckets[i];
    }
    return below;
  }

  /**
   * Returns the upper bound of a bucket.
   *
   * @param bucket the bucket, from 0
   * @return seconds, infinite for the last
   */
  public static double upperBoundSeconds(int bucket) {
    return bucket == BUCKET_COUNT - 1 ? Double.POSITIVE_INFINITY : (1L << bucket) / 1e6;
  }
}
