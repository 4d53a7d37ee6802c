package dev.toucanstall.core.lease;

/**
 * Time by which all leases that a backend server may hold have expired, and its origin. Owned by
 * the control thread; times are in milliseconds of the planner's monotonic clock.
 *
 * <p>A lease is given as a time on the clock of the incarnation that the planner knows. An order
 * for it that is carried out by a later incarnation under the same id gives the longest lease that
 * a backend server grants, because the clock of that incarnation starts anew.
 */
public final class LeaseBound {

  /** Longest lease that a planner gives, in milliseconds of the backend server's clock. */
  public static final long LEASE_MS = 5_500;

  /**
   * Longest lease that a backend server grants, in milliseconds of its clock. It shortens a longer
   * one.
   */
  public static final long MAX_LEASE_MS = 10_000;

  /** Longest time for which an order is on its way without being late, in milliseconds. */
  public static final long MAX_TRANSIT_MS = 300;

  /**
   * Longest time for which an order is on its way in all, in milliseconds: it may be carried out
   * seconds after its call was given up.
   */
  public static final long MAX_LATE_TRANSIT_MS = 12_000;

  /** Longest time that a slow clock loses between two readings of it, in milliseconds. */
  private static final long CLOCK_DRIFT_MS = 200;

  /** Origin of the bound. */
  public enum Source {
    /** A lease that this planner gave on the clock of the present incarnation. */
    OWN_LEASE,
    /** Leases that earlier planners may have given. */
    PREDECESSOR,
    /** Leases that any planner may have given before the backend server was listed. */
    BEFORE_LISTING,
    /** Orders for a former incarnation that a later one may have carried out. */
    FORMER_CLOCK,
    /** Such orders, while no entry or list has shown the later incarnation. */
    RESTART_SUSPECTED
  }

  private long expiredMs;
  private Source source;
  private long suspectedSinceMs;

  /** Whether the id had a former incarnation, until the present one has seen its token. */
  private boolean formerIncarnation;

  /**
   * Time until which leases on the clock of a former incarnation may last once the present one has
   * seen its token, 0 if there are none.
   */
  private long formerClockEndMs;

  /**
   * Time by which the leases have expired that an unknown later incarnation may have given on
   * orders of this planner or of earlier ones.
   */
  private long unknownIncarnationEndMs;

  /**
   * Time by which the longest lease has expired that began when the backend server was last known
   * to be up, 0 if it never was.
   */
  private long lastContactEndMs;

  private LeaseBound(long expiredMs, Source source) {
    this.expiredMs = expiredMs;
    this.source = source;
  }

  /**
   * Returns the bound of a backend server that is listed for the first time.
   *
   * @param nowMs current time
   * @return the bound
   */
  public static LeaseBound ofListed(long nowMs) {
    return new LeaseBound(nowMs + longestMs(), Source.BEFORE_LISTING);
  }

  /**
   * Returns the bound of a backend server that an earlier planner's records name.
   *
   * @param leasesEndMs time at which all leases of earlier planners have expired
   * @param formerClockEndMs time at which their leases on the clock of a former incarnation have
   *     expired, if there are any
   * @return the bound
   */
  public static LeaseBound ofPredecessors(long leasesEndMs, long formerClockEndMs) {
    LeaseBound bound = new LeaseBound(leasesEndMs, Source.PREDECESSOR);
    bound.unknownIncarnationEndMs = formerClockEndMs;
    bound.lastContactEndMs = formerClockEndMs;
    return bound;
  }

  /**
   * Returns the bound of a backend server that an earlier planner's records name, and whose leases
   * may be on the clock of a former incarnation.
   *
   * @param formerClockEndMs time at which all such leases of earlier planners have expired
   * @return the bound
   */
  public static LeaseBound ofPredecessorsOnFormerClock(long formerClockEndMs) {
    LeaseBound bound = new LeaseBound(formerClockEndMs, Source.FORMER_CLOCK);
    bound.formerIncarnation = true;
    bound.unknownIncarnationEndMs = formerClockEndMs;
    bound.lastContactEndMs = formerClockEndMs;
    return bound;
  }

  /**
   * Returns the time at which the leases on the clock of a former incarnation have expired.
   *
   * @param lastSentMs time after which no such lease was given
   * @return the time
   */
  public static long formerClockEndMs(long lastSentMs) {
    return lastSentMs + MAX_TRANSIT_MS + longestMs();
  }

  private static long longestMs() {
    return ServerClock.longestDurationMs(MAX_LEASE_MS);
  }

  private void extend(long untilMs, Source by) {
    if (untilMs > expiredMs) {
      expiredMs = untilMs;
      source = by;
    }
  }

  /**
   * Records a lease that this planner gives.
   *
   * @param lengthMs its length, in milliseconds of the backend server's clock
   * @param nowMs current time
   */
  public void given(long lengthMs, long nowMs) {
    extend(nowMs + ServerClock.longestDurationMs(lengthMs), Source.OWN_LEASE);
    unknownIncarnationEndMs = Math.max(unknownIncarnationEndMs, formerClockEndMs(nowMs));
  }

  /**
   * Records that a later incarnation under the id is known. Until it has seen a fencing token of
   * its own, orders for a former one may reach it.
   *
   * @param nowMs current time
   */
  public void restarted(long nowMs) {
    suspectedSinceMs = 0;
    formerIncarnation = true;
    extend(formerClockEndMs(nowMs), Source.FORMER_CLOCK);
  }

  /**
   * Records that the backend server was up: it has answered a call.
   *
   * @param sentMs time at which the call was sent
   */
  public void contact(long sentMs) {
    lastContactEndMs = Math.max(lastContactEndMs, sentMs + longestMs());
  }

  /** Records that orders for a former incarnation under the id may reach the present one. */
  public void formerIncarnationKnown() {
    formerIncarnation = true;
  }

  /**
   * Records that the answer to an order shows a later incarnation that no entry or list has shown
   * yet.
   *
   * @param nowMs current time
   */
  public void restartSuspected(long nowMs) {
    suspectedSinceMs = nowMs;
  }

  /** Records that a list has shown which incarnation answers. */
  public void incarnationShown() {
    suspectedSinceMs = 0;
  }

  /**
   * Returns whether an answer shows a later incarnation that no entry or list has shown yet.
   *
   * @return true since {@link #restartSuspected} until a list shows the incarnation
   */
  public boolean isRestartSuspected() {
    return suspectedSinceMs > 0;
  }

  /**
   * Returns whether a restart was suspected at a time or later.
   *
   * @param sinceMs the time
   * @return true if it was
   */
  public boolean isRestartSuspectedSince(long sinceMs) {
    return suspectedSinceMs >= sinceMs;
  }

  /**
   * Records that the present incarnation has seen this planner's fencing token for it, so that no
   * lease is longer than one that was given just now. Until then, any order for a former
   * incarnation may have given the longest.
   *
   * @param nowMs current time
   */
  public void tokenSeen(long nowMs) {
    if (formerIncarnation) {
      formerClockEndMs = endOfLeaseGivenBefore(nowMs, MAX_LEASE_MS);
      expiredMs = formerClockEndMs;
    } else {
      expiredMs = Math.min(expiredMs, endOfLeaseGivenBefore(nowMs, LEASE_MS));
    }
    formerIncarnation = false;
  }

  private static long endOfLeaseGivenBefore(long nowMs, long lengthMs) {
    return nowMs + ServerClock.longestDurationMs(lengthMs + CLOCK_DRIFT_MS);
  }

  /**
   * Returns whether a lease on the clock of a former incarnation may last.
   *
   * @param nowMs current time
   * @return true if orders for a former incarnation may have reached this one, until the leases
   *     that they gave have expired
   */
  public boolean mayBeOnFormerClock(long nowMs) {
    return isRestartSuspected() || formerIncarnation || nowMs < formerClockEndMs;
  }

  /**
   * Returns the time at which all leases have surely expired.
   *
   * @return the time
   */
  public long expiredMs() {
    return isRestartSuspected()
        ? Math.max(expiredMs, formerClockEndMs(suspectedSinceMs))
        : expiredMs;
  }

  /**
   * Returns the time at which all leases have surely expired that a later incarnation of which the
   * planner has not learned may have given. They matter for a run whose start had no answer: such
   * an incarnation may have carried the start out, and its leases are the longest.
   *
   * @return the time, not before {@link #expiredMs}
   */
  public long unknownIncarnationExpiredMs() {
    return Math.max(expiredMs(), unknownIncarnationEndMs);
  }

  /**
   * Returns the time at which the longest lease has surely expired that a backend server may have
   * given when it was last known to be up.
   *
   * @return the time, 0 if it was never up as far as known
   */
  public long lastContactExpiredMs() {
    return lastContactEndMs;
  }

  /**
   * Returns the origin of the time at which all leases have surely expired.
   *
   * @return the source
   */
  public Source source() {
    return expiredMs() > expiredMs ? Source.RESTART_SUSPECTED : source;
  }
}
