package dev.toucanstall.core.plan;

import dev.toucanstall.core.lease.LeaseBound;
import dev.toucanstall.core.lease.ServerClock;

/**
 * Change from the last planner to the next. Times are in milliseconds of the monotonic clock.
 *
 * @param confirmedMs time at which the store has confirmed the next planner's epoch, or earlier;
 *     the process may have stood still between that and the start of its term
 * @param leasesEndMs time at which all leases of earlier planners have expired, but for those on
 *     the clock of a former incarnation
 * @param formerClockLeasesEndMs time at which the leases have expired that earlier planners gave on
 *     the clock of an incarnation before they knew a later one
 */
public record Succession(long confirmedMs, long leasesEndMs, long formerClockLeasesEndMs) {

  /**
   * Returns the change from a planner to the next.
   *
   * <p>A planner stores that it knows a later incarnation, and gives no leases on the former clock
   * any more. So these were given before the store's last confirmation.
   *
   * @param confirmedMs time at which the store has confirmed the next planner's epoch, or earlier
   * @param lastConfirmedMs time after which the store has not confirmed the last planner, at the
   *     latest that at which the store had fenced it
   * @param prolongedLeasesEndMs time at which leases that an earlier planner has prolonged for an
   *     outage of the store have expired; {@link Long#MAX_VALUE} if unknown
   * @return the change
   */
  public static Succession of(long confirmedMs, long lastConfirmedMs, long prolongedLeasesEndMs) {
    return new Succession(
        confirmedMs,
        leasesEndMs(lastConfirmedMs, prolongedLeasesEndMs),
        LeaseBound.formerClockEndMs(lastConfirmedMs));
  }

  /**
   * Returns the change to a planner that knows nothing of earlier ones.
   *
   * @param now start of its term
   * @return the change
   */
  public static Succession ofUnknown(Now now) {
    return of(now.steadyMs(), now.steadyMs(), Long.MAX_VALUE);
  }

  /**
   * Returns whether orders of earlier planners for a former incarnation may yet give leases to one
   * of which no record tells. Such an order is older than the incarnation, which therefore began
   * not long before the store last confirmed the planner that sent it.
   *
   * @param startedMs time at which the incarnation has started at the latest, in milliseconds of
   *     the monotonic clock
   * @param nowMs current time, in milliseconds of the monotonic clock
   */
  boolean mayHaveLeftLeases(long startedMs, long nowMs) {
    long lastConfirmedMs = formerClockLeasesEndMs - LeaseBound.formerClockEndMs(0);
    return startedMs >= lastConfirmedMs - LeaseBound.MAX_LATE_TRANSIT_MS
        && nowMs < leasesEndMs + LeaseBound.MAX_LATE_TRANSIT_MS;
  }

  /**
   * Returns the time at which the leases have expired that a later incarnation may have given on
   * starts of earlier planners, which knew a former one.
   *
   * @return the time, in milliseconds of the monotonic clock
   */
  long unconfirmedStartLeasesEndMs() {
    return formerClockLeasesEndMs + PlanReducer.START_PERMISSION_MS;
  }

  private static long leasesEndMs(long lastConfirmedMs, long prolongedLeasesEndMs) {
    long usualEndMs = lastConfirmedMs + ServerClock.longestDurationMs(PlanReducer.LEASE_HORIZON_MS);
    long latestEndMs =
        lastConfirmedMs + ServerClock.longestDurationMs(PlanReducer.OUTAGE_LEASE_HORIZON_MS);
    return Math.min(latestEndMs, Math.max(usualEndMs, prolongedLeasesEndMs));
  }
}
