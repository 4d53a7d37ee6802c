package dev.toucanstall.core.lease;

/**
 * The monotonic clock of one incarnation of a backend server, as last read. It starts anew with
 * each incarnation, and may be slow or fast by 2%. Owned by the control thread.
 */
public final class ServerClock {

  /** Slowest rate of a backend server's clock relative to the planner's clock. */
  private static final double MIN_RATE = 0.98;

  /** Fastest rate of a backend server's clock relative to the planner's clock. */
  private static final double MAX_RATE = 1.02;

  /** Tolerance for readings of a backend server's clock, in milliseconds. */
  private static final long TOLERANCE_MS = 50;

  private long readingMs;
  private long readAtMs;

  /**
   * Creates a clock.
   *
   * @param readingMs a reading in milliseconds, 0 if there is none yet
   * @param nowMs time of the reading, in milliseconds of the planner's monotonic clock
   */
  public ServerClock(long readingMs, long nowMs) {
    read(readingMs, nowMs);
  }

  /**
   * Returns the longest time that a backend server's clock, which may be slow, takes for a length.
   *
   * @param lengthMs length in milliseconds of the backend server's clock
   * @return the time in milliseconds of the planner's monotonic clock
   */
  public static long longestDurationMs(long lengthMs) {
    return (long) (lengthMs / MIN_RATE) + 1;
  }

  /**
   * Returns the shortest time that a backend server's clock, which may be fast, takes for a length.
   *
   * @param lengthMs length in milliseconds of the backend server's clock
   * @return the time in milliseconds of the planner's monotonic clock
   */
  public static long shortestDurationMs(long lengthMs) {
    return (long) (lengthMs / MAX_RATE);
  }

  /**
   * Records a reading.
   *
   * @param reading the reading in milliseconds
   * @param nowMs time of the reading, in milliseconds of the planner's monotonic clock
   */
  public void read(long reading, long nowMs) {
    readingMs = reading;
    readAtMs = nowMs;
  }

  /**
   * Returns whether no reading is known.
   *
   * @return true if the last reading was 0
   */
  public boolean isUnknown() {
    return readingMs == 0;
  }

  /**
   * Returns whether a reading is lower than any of this incarnation can be, so that a later one has
   * answered, whose clock starts anew.
   *
   * @param reading the reading in milliseconds
   * @param sentMs time at which the answered call was sent or earlier, in milliseconds of the
   *     planner's monotonic clock
   * @return true if a later incarnation has answered
   */
  public boolean showsRestart(long reading, long sentMs) {
    long sinceReadMs = sentMs - readAtMs;
    double rate = sinceReadMs >= 0 ? MIN_RATE : MAX_RATE;
    return reading < readingMs + (long) (sinceReadMs * rate) - TOLERANCE_MS;
  }

  /**
   * Returns the time on this clock at which a lease ends. It counts from the earliest time that the
   * clock may show now, so that a slow clock lengthens the lease by no more than its rate, however
   * long ago it was read.
   *
   * @param lengthMs length of the lease, in milliseconds of this clock
   * @param nowMs current time, in milliseconds of the planner's monotonic clock
   * @return the time in milliseconds of this clock
   */
  public long expiryMs(long lengthMs, long nowMs) {
    return readingMs + (long) ((nowMs - readAtMs) * MIN_RATE) + lengthMs;
  }
}
