package dev.toucanstall.core.node;

import dev.toucanstall.core.plan.Now;

/**
 * What this entry instance knows of the leases that earlier planners have given. Owned by the
 * control thread.
 *
 * <p>A planner prolongs its leases for an outage of the store only while each of its followers
 * offers no processor capacity. So an instance that has followed the planner, and has offered
 * capacity all the time, knows that the leases were not prolonged.
 */
final class PredecessorContact {

  /**
   * Time for which an answer of the planner shows that it counts this instance among its followers,
   * in milliseconds.
   */
  static final long VALIDITY_MS = 10_000;

  /**
   * Time after which the leases that a planner may have prolonged have expired, in milliseconds:
   * longer than the longest lease with the delay of a ping.
   */
  private static final long DOUBT_MS = 14_000;

  /** Epoch of the planner that has counted this instance, 0 if there is none. */
  private long countedBy;

  /** Time of the planner's last answer, in milliseconds of the monotonic clock. */
  private long countedMs;

  /**
   * Time at which a planner may last have prolonged its leases as far as this instance knows, in
   * milliseconds of the monotonic clock; never until the first update.
   */
  private long doubtMs = Long.MAX_VALUE;

  /** Records that this instance offers no capacity, so that the planner may prolong its leases. */
  void offersNothing(Now now) {
    doubtMs = now.steadyMs();
  }

  /** Records an answer of the planner to a ping. */
  void counted(long epoch, Now now) {
    countedBy = epoch;
    countedMs = now.steadyMs();
  }

  /** Records that a planner was replaced. One that did not count this instance is in doubt. */
  void replaced(long formerEpoch, Now now) {
    if (!isCountedBy(formerEpoch, now)) {
      doubtMs = now.steadyMs();
    }
  }

  private boolean isCountedBy(long epoch, Now now) {
    return countedBy == epoch && now.steadyMs() - countedMs <= VALIDITY_MS;
  }

  /**
   * Returns whether no earlier planner can have prolonged leases that may still last.
   *
   * @param lastEpoch epoch of the last planner
   * @param now current time
   */
  boolean noneProlonged(long lastEpoch, Now now) {
    return isCountedBy(lastEpoch, now) && now.steadyMs() - doubtMs > DOUBT_MS;
  }
}
