package dev.toucanstall.core.state;

/**
 * What was learned of an instance from the outcomes of its work.
 *
 * @param failureScore failures in a row that were laid to the instance
 * @param suspensions how often in a row it was suspended
 * @param suspendedUntil until when it gets no work
 * @param probing whether one request tries it after a suspension
 */
public record Health(double failureScore, int suspensions, long suspendedUntil, boolean probing) {

  /** Blame at which an instance is suspended. */
  public static final double SUSPEND_THRESHOLD = 3;

  /** Nothing held against the instance. */
  public static final Health GOOD = new Health(0, 0, 0, false);

  private static final long FIRST_SUSPENSION_NANOS = 2_000_000_000L;
  private static final int MAX_DOUBLINGS = 5;

  /**
   * Tells whether the instance may get a request.
   *
   * @param now the time
   * @return false while it is suspended or being probed
   */
  public boolean acceptsRequest(long now) {
    return now >= suspendedUntil && !probing;
  }

  /**
   * Tells whether the next request is a probe.
   *
   * @return true after a suspension
   */
  public boolean isProbeDue() {
    return suspensions > 0;
  }

  /**
   * Returns the health once a probe has started.
   *
   * @return the new health
   */
  public Health afterProbeStart() {
    return new Health(failureScore, suspensions, suspendedUntil, true);
  }

  /**
   * Returns the health after a success.
   *
   * @return good health
   */
  public Health afterSuccess() {
    return GOOD;
  }

  /**
   * Returns the health after an end that says nothing about the instance.
   *
   * @return the new health
   */
  public Health afterInconclusiveEnd() {
    return probing ? new Health(failureScore, suspensions, suspendedUntil, false) : this;
  }

  /**
   * Returns the health after a failure.
   *
   * @param weight how much of it is laid to the instance, 0 to 1
   * @param now the time
   * @return the new health
   */
  public Health afterFailure(double weight, long now) {
    double sum = failureScore + weight;
    if (sum < SUSPEND_THRESHOLD && !probing) {
      return new Health(sum, suspensions, suspendedUntil, false);
    }
    long pause = FIRST_SUSPENSION_NANOS << Math.min(suspensions, MAX_DOUBLINGS);
    return new Health(0, suspensions + 1, now + pause, false);
  }
}
