package dev.toucanstall.core.node;

import dev.toucanstall.core.plan.Now;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether this entry instance may become the planner. Owned by the control thread.
 *
 * <p>The group names any of its members as the candidate. An instance that is much smaller than the
 * planner can't carry the planner's load: calls would time out until it has handed over to a larger
 * instance. So it leaves the group while a planner is known, and joins again only if no instance of
 * sufficient size has taken over in time.
 */
final class Candidacy {

  /**
   * Ratio of processor capacities from which an instance counts as much larger than another; above
   * 1, so that no two hand over to each other.
   */
  private static final double MUCH_LARGER_RATIO = 1.5;

  /**
   * Time without a planner after which small instances become candidates, in milliseconds: longer
   * than an election takes while the store is slow.
   */
  private static final long SMALL_CANDIDATE_DELAY_MS = 2_000;

  /**
   * Time after the last answer of the store from which it counts as unreachable, in milliseconds:
   * longer than the long poll for a new configuration.
   */
  private static final long STORE_CONTACT_TIMEOUT_MS = 1_500;

  /**
   * Time for which a planner does not ask an instance again whose election has failed, in
   * milliseconds. The store may refuse that instance as well.
   */
  private static final long FAILED_ELECTION_PAUSE_MS = 1_000;

  /** Time for which an instance whose plan failed lets others plan, in milliseconds. */
  private static final long FAILED_PLAN_PAUSE_MS = 2_000;

  /** Time for which an instance that can't read all records lets others plan, in milliseconds. */
  private static final long UNREADABLE_RECORDS_PAUSE_MS = 10_000;

  /** Processor capacity of the latest planner that has stored it, null if none is known. */
  private @Nullable LeaderSize leaderSize;

  /** Time at which the planner was last lost, in milliseconds of the monotonic clock. */
  private long plannerLostMs;

  /** Time of the last answer of the store, in milliseconds of the monotonic clock. */
  private long storeAnsweredMs = Long.MIN_VALUE / 2;

  /** Time since which the store answers, in milliseconds of the monotonic clock. */
  private long storeContactSinceMs;

  /** Time until which this entry instance can't plan, in milliseconds of the monotonic clock. */
  private long unfitUntilMs;

  /**
   * Time until which this entry instance offers no processor capacity to the planner, in
   * milliseconds of the monotonic clock.
   */
  private long offersNothingUntilMs;

  /** Whether this entry instance is in the group from which the candidate is named. */
  private boolean groupMember = true;

  /** Processor capacity that pings offer to the planner, in cores; 0 if not fit to plan. */
  private double offeredCores;

  /** Returns whether one processor capacity is much larger than another; false if it is unknown. */
  static boolean isMuchLarger(double cores, double otherCores) {
    return otherCores > 0 && cores >= MUCH_LARGER_RATIO * otherCores;
  }

  /** Records an answer of the store, which may end a time without contact. */
  void storeAnswered(Now now) {
    if (!hasStoreContact(now)) {
      storeContactSinceMs = now.steadyMs();
    }
    storeAnsweredMs = now.steadyMs();
  }

  private boolean hasStoreContact(Now now) {
    return now.steadyMs() - storeAnsweredMs <= STORE_CONTACT_TIMEOUT_MS;
  }

  /** Records the processor capacity of a planner, unless that of a later one is known. */
  void leaderSizeRead(LeaderSize size) {
    LeaderSize current = leaderSize;
    if (current == null || size.epoch() > current.epoch()) {
      leaderSize = size;
    }
  }

  /** Records that no planner is active any more. */
  void plannerLost(Now now) {
    plannerLostMs = now.steadyMs();
  }

  /** Records that an election of this instance was lost or failed. */
  void electionFailed(Now now) {
    offersNothingUntilMs = now.steadyMs() + FAILED_ELECTION_PAUSE_MS;
  }

  /** Records that a decision of this instance failed while it planned. */
  void planFailed(Now now) {
    unfitUntilMs = now.steadyMs() + FAILED_PLAN_PAUSE_MS;
  }

  /** Records that this instance can't read all stored records. */
  void recordsUnreadable(Now now) {
    unfitUntilMs = now.steadyMs() + UNREADABLE_RECORDS_PAUSE_MS;
  }

  /**
   * Returns whether this instance may start an election: it can read the records, and it is not
   * much smaller than the planner was, or no larger instance has taken over in time. The time
   * counts only while the store can be reached, as no instance can take over without it.
   */
  boolean isEligible(Node node, Now now) {
    if (now.steadyMs() < unfitUntilMs) {
      return false;
    }
    return !isMuchSmallerThanPlanner(node) || (node.plannerMissing && noneTookOver(now));
  }

  private boolean isMuchSmallerThanPlanner(Node node) {
    Leader leader = node.leader;
    LeaderSize size = leaderSize;
    return leader != null
        && size != null
        && size.epoch() == leader.epoch()
        && isMuchLarger(size.cores(), node.size.cores());
  }

  /** Returns whether the time for larger instances to take over from a lost planner is over. */
  private boolean noneTookOver(Now now) {
    long sinceMs = Math.max(plannerLostMs, storeContactSinceMs);
    return hasStoreContact(now) && now.steadyMs() - sinceMs >= SMALL_CANDIDATE_DELAY_MS;
  }

  /** Joins or leaves the group, and updates the capacity that is offered to the planner. */
  void update(Node node, Now now) {
    boolean eligible = isEligible(node, now);
    if (eligible != groupMember) {
      groupMember = eligible;
      node.emit(new NodeEffect.SetGroupMembership(eligible));
    }
    double cores = isFit(node, now) ? node.size.cores() : 0;
    if (cores <= 0) {
      node.predecessorContact.offersNothing(now);
    }
    if (cores != offeredCores) {
      offeredCores = cores;
      node.emit(new NodeEffect.OfferCores(cores));
    }
  }

  /**
   * Returns whether the planner may choose this instance as its successor. A planner follows itself
   * as well, and must not choose itself.
   */
  private boolean isFit(Node node, Now now) {
    return node.ready
        && node.plan == null
        && hasStoreContact(now)
        && now.steadyMs() >= Math.max(unfitUntilMs, offersNothingUntilMs);
  }
}
