package dev.toucanstall.core.state;

/**
 * Health of an instance as a circuit breaker judges it by the outcomes of requests. Immutable.
 *
 * <p>Failures suspend the instance. After a suspension one request is sent as a probe: if it
 * succeeds, the instance is healthy again; if it fails, the next suspension is twice as long, up to
 * a limit.
 *
 * @param failureScore sum of the weights of failures since the last success or suspension
 * @param suspensions number of suspensions since the last success
 * @param suspendedUntil end of the last suspension, in nanoseconds of the monotonic clock
 * @param probing whether a probe is running
 */
public record Health(double failureScore, int suspensions, long suspendedUntil, boolean probing) {

  /** Failure score from which an instance is suspended. */
  public static final double SUSPEND_THRESHOLD = 3;

  /** Health of an instance without failures. */
  public static final Health GOOD = new Health(0, 0, 0, false);

  private static final long FIRST_SUSPENSION_NANOS = 2_000_000_000L;
  private static final int MAX_DOUBLINGS = 5;

  /**
   * Tells whether a request may be sent to the instance.
   *
   * @param now the time, in nanoseconds of the monotonic clock
   * @return false during a suspension and while a probe is running
   */
  public boolean acceptsRequest(long now) {
    return now >= suspendedUntil && !probing;
  }

  /**
   * Tells whether the next request is a probe.
   *
   * @return true if the instance was suspended and has not succeeded since
   */
  public boolean isProbeDue() {
    return suspensions > 0;
  }

  /**
   * Returns the health after the start of a probe.
   *
   * @return the new health
   */
  public Health afterProbeStart() {
    return new Health(failureScore, suspensions, suspendedUntil, true);
  }

  /**
   * Returns the health after a success.
   *
   * @return {@link #GOOD}
   */
  public Health afterSuccess() {
    return GOOD;
  }

  /**
   * Returns the health after a request whose end neither blames nor clears the instance.
   *
   * @return the new health
   */
  public Health afterInconclusiveEnd() {
    return probing ? new Health(failureScore, suspensions, suspendedUntil, false) : this;
  }

  /**
   * Returns the health after a failure.
   *
   * @param weight part of the failure that is attributed to the instance, 0 to 1
   * @param now the time, in nanoseconds of the monotonic clock
   * @return the new health, suspended if the threshold is reached or a probe failed
   */
  public Health afterFailure(double weight, long now) {
    double score = failureScore + weight;
    if (score < SUSPEND_THRESHOLD && !probing) {
      return new Health(score, suspensions, suspendedUntil, false);
    }
    long suspensionNanos = FIRST_SUSPENSION_NANOS << Math.min(suspensions, MAX_DOUBLINGS);
    return new Health(0, suspensions + 1, now + suspensionNanos, false);
  }
}
