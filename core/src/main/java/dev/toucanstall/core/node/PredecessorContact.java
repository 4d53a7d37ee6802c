package dev.toucanstall.core.node;

import dev.toucanstall.core.lease.LeaseBound;
import dev.toucanstall.core.lease.ServerClock;
import dev.toucanstall.core.plan.Now;
import dev.toucanstall.core.plan.PlanReducer;
import java.util.OptionalLong;

/**
 * Knowledge of this entry instance of the leases that earlier planners have given. Owned by the
 * control thread.
 *
 * <p>A planner prolongs its leases for an outage of the store only while each of its followers
 * offers no processor capacity. So an instance that has followed the planner, and has offered
 * capacity all the time, knows that the leases were not prolonged.
 *
 * <p>Planners report the store's last confirmation of their epoch with each answer. No lease ends
 * later than a fixed time after the planner's last confirmation, so an instance that knows it need
 * not count from the later moment at which it has fenced that planner.
 */
final class PredecessorContact {

  /**
   * Time for which an answer of the planner shows that it counts this instance among its followers,
   * in milliseconds.
   */
  static final long VALIDITY_MS = 10_000;

  /**
   * Longest time for which a ping may be held up on its way without a pause that its receiver
   * notices, in milliseconds.
   */
  static final long MAX_PING_DELAY_MS = 4_000;

  /** Epoch of the planner that has counted this instance, 0 if there is none. */
  private long countedBy;

  /** Time of the planner's last answer, in milliseconds of the monotonic clock. */
  private long countedMs;

  /**
   * Time at which prolonged leases have expired that planners gave before they counted this
   * instance, in milliseconds of the monotonic clock.
   */
  private long uncountedLeasesEndMs = Long.MIN_VALUE;

  /**
   * Time at which prolonged leases have expired that planners gave as this instance offered no
   * capacity, in milliseconds of the monotonic clock; never until the first update.
   */
  private long countedLeasesEndMs = Long.MAX_VALUE;

  /** Epoch of the planner that has last reported its confirmation, 0 if none has. */
  private long reportedBy;

  /** End of the job log after the last append that the planner reported as confirmed. */
  private long reportedLogEnd;

  /** Time at which that append was sent or later, in milliseconds of the monotonic clock. */
  private long reportedMs;

  /** Records that this instance offers no capacity, so that the planner may prolong its leases. */
  void offersNothing(Now now) {
    if (countedLeasesEndMs == Long.MAX_VALUE) {
      uncounted(now);
    }
    countedLeasesEndMs =
        now.steadyMs() + MAX_PING_DELAY_MS + ServerClock.longestDurationMs(LeaseBound.LEASE_MS);
  }

  /** Records that an unknown time has passed which the monotonic clock may not have counted. */
  void timeLost(Now now) {
    countedBy = 0;
    reportedBy = 0;
    uncounted(now);
  }

  /** Records that planners which did not count this instance may have been active until now. */
  private void uncounted(Now now) {
    uncountedLeasesEndMs =
        now.steadyMs() + ServerClock.longestDurationMs(PlanReducer.OUTAGE_LEASE_HORIZON_MS);
  }

  /** Records an answer of the planner to a ping. */
  void counted(long epoch, Now now) {
    countedBy = epoch;
    countedMs = now.steadyMs();
  }

  /**
   * Records what a planner reports of its last confirmation by the store.
   *
   * @param logEnd end of the job log after the confirmed append; not positive if unknown
   * @param confirmedMs time at which that append was sent or later, in milliseconds of the
   *     monotonic clock
   * @param epoch epoch of the planner
   */
  void confirmationReported(long logEnd, long confirmedMs, long epoch) {
    if (logEnd <= 0) {
      return;
    }
    boolean known = reportedBy == epoch && reportedLogEnd == logEnd;
    reportedMs = known ? Math.min(reportedMs, confirmedMs) : confirmedMs;
    reportedBy = epoch;
    reportedLogEnd = logEnd;
  }

  /** Records that a planner was replaced. One that did not count this instance is in doubt. */
  void replaced(long formerEpoch, Now now) {
    if (!isCountedBy(formerEpoch, now)) {
      uncounted(now);
    }
  }

  private boolean isCountedBy(long epoch, Now now) {
    return countedBy == epoch && now.steadyMs() - countedMs <= VALIDITY_MS;
  }

  /**
   * Returns the time after which the store has not confirmed the last planner: each confirmation
   * makes the job log longer, so there was none after the one at whose end the log still is.
   *
   * @param lastEpoch epoch of the last planner
   * @param logEnd end of the job log when that planner was fenced
   * @return the time in milliseconds of the monotonic clock, empty if unknown
   */
  OptionalLong lastConfirmedMs(long lastEpoch, long logEnd) {
    return reportedBy == lastEpoch && lastEpoch > 0 && reportedLogEnd == logEnd
        ? OptionalLong.of(reportedMs)
        : OptionalLong.empty();
  }

  /**
   * Returns the time at which leases that earlier planners have prolonged for an outage of the
   * store have expired.
   *
   * @param lastEpoch epoch of the last planner
   * @param now current time
   * @return the time in milliseconds of the monotonic clock, {@link Long#MAX_VALUE} if unknown
   */
  long prolongedLeasesEndMs(long lastEpoch, Now now) {
    return isCountedBy(lastEpoch, now)
        ? Math.max(countedLeasesEndMs, uncountedLeasesEndMs)
        : Long.MAX_VALUE;
  }
}
