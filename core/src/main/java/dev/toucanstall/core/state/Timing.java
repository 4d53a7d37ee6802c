package dev.toucanstall.core.state;

import java.time.Duration;

/**
 * Durations on which the guarantees of the fleet depend, in nanoseconds. All entry instances must
 * use the same values. Immutable.
 *
 * @param freshness time for which requests may start after a confirmed contact with the log or a
 *     majority of the members, counted from when that contact was requested
 * @param loanLease time for which requests may start on borrowed slots
 * @param maxDeadline maximum time from the arrival of a request to its end
 * @param heartbeatInterval time between two heartbeats to a peer
 * @param evictAfter time without contact after which the eviction of a member is proposed
 * @param claimWindow time for which a request id stays claimed
 * @param resendDelay time after which a record that was not read back is appended again
 * @param cutOffGrace time for which requests wait for contact before they are refused
 * @param snapshotInterval time between two snapshots
 * @param downAfter time after which an instance that is not on the platform's list counts as down
 * @param stopWait time between failing the readiness check and refusing new requests at a stop
 * @param stopDeadline maximum time of one stage of a stop; beyond it the process exits
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

  /** Durations of a production fleet. */
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
   * Checks the durations.
   *
   * @throws IllegalArgumentException if freshness, loan lease, maximum deadline or heartbeat is not
   *     positive, or the loan lease is longer than freshness
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
   * Returns the time after which no request of an evicted member can still run: its last contact
   * has expired, then its last loan, and then its last request has reached the maximum deadline.
   *
   * @return nanoseconds from the settlement of the eviction
   */
  public long fencingDelay() {
    return freshness + loanLease + maxDeadline;
  }

  /**
   * Returns the time for which a lent slot counts as used unless it is returned earlier.
   *
   * @return nanoseconds from the grant of the loan
   */
  public long loanReservation() {
    return loanLease + maxDeadline;
  }
}
