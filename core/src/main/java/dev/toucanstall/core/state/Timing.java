package dev.toucanstall.core.state;

import java.time.Duration;

/**
 * The durations that the promises rest on, in nanoseconds. All entry instances must use the same.
 *
 * @param freshness how long work is admitted after the last confirmed contact was asked for
 * @param loanLease how long work may start under a loan
 * @param maxDeadline the longest time that a request may take from its arrival
 * @param heartbeatInterval time between heartbeats to a peer
 * @param evictAfter silence after which a member is proposed for eviction
 * @param claimWindow how long a request id stays claimed
 * @param resendDelay time after which an unconfirmed record is appended again
 * @param cutOffGrace how long requests wait for freshness before they are refused
 * @param snapshotInterval time between snapshots
 * @param downAfter time off the platform's list after which an instance counts as down
 * @param stopWait time between failing readiness and refusing new requests at a stop
 * @param stopDeadline time after which a stop is forced
 */
public record Timing(
    long freshness,
    long loanLease,
    long maxDeadline,
    long heartbeatInterval,
    long evictAfter,
    long claimWindow,
    long resendDelay,
    long cutOffGrace,
    long snapshotInterval,
    long downAfter,
    long stopWait,
    long stopDeadline) {

  /** The durations of a production fleet. */
  public static final Timing DEFAULT =
      new Timing(
          Duration.ofMillis(3_000).toNanos(),
          Duration.ofMillis(2_000).toNanos(),
          Duration.ofSeconds(30).toNanos(),
          Duration.ofMillis(500).toNanos(),
          Duration.ofSeconds(10).toNanos(),
          Duration.ofSeconds(120).toNanos(),
          Duration.ofMillis(1_500).toNanos(),
          Duration.ofMillis(1_000).toNanos(),
          Duration.ofMinutes(10).toNanos(),
          Duration.ofSeconds(30).toNanos(),
          Duration.ofSeconds(2).toNanos(),
          Duration.ofSeconds(45).toNanos());

  /**
   * Creates the durations.
   *
   * @throws IllegalArgumentException if one is not positive or a loan outlives freshness
   */
  public Timing {
    if (Math.min(Math.min(freshness, loanLease), Math.min(maxDeadline, heartbeatInterval)) <= 0) {
      throw new IllegalArgumentException("a duration is not positive");
    }
    if (loanLease > freshness) {
      throw new IllegalArgumentException(
          "loan lease %d ns is longer than freshness %d ns".formatted(loanLease, freshness));
    }
  }

  /**
   * Returns the time after which nothing that an ended or evicted instance held can still run.
   *
   * @return nanoseconds since its eviction was settled
   */
  public long fencingDelay() {
    return freshness + loanLease + maxDeadline;
  }

  /**
   * Returns the time for which a lent slot counts as used without being returned.
   *
   * @return nanoseconds since it was lent
   */
  public long loanReservation() {
    return loanLease + maxDeadline;
  }
}
