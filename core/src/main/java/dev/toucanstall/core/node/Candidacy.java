package dev.toucanstall.core.node;

import dev.toucanstall.core.plan.Now;

/**
 * Decides whether this entry instance may become the planner.
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
  static final double MUCH_LARGER_RATIO = 1.5;

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

  private Candidacy() {}

  /** Records an answer of the store, which ends a time without contact. */
  static void storeAnswered(Node node, Now now) {
    if (!hasStoreContact(node, now)) {
      node.storeContactSinceMs = now.steadyMs();
    }
    node.storeAnsweredMs = now.steadyMs();
  }

  private static boolean hasStoreContact(Node node, Now now) {
    return now.steadyMs() - node.storeAnsweredMs <= STORE_CONTACT_TIMEOUT_MS;
  }

  static void leaderSizeRead(Node node, LeaderSize size) {
    LeaderSize current = node.leaderSize;
    if (current == null || size.epoch() > current.epoch()) {
      node.leaderSize = size;
    }
  }

  /**
   * Returns whether this instance may start an election: it can read the records, and it is not
   * much smaller than the planner was, or no larger instance has taken over in time. The time
   * counts only while the store can be reached, as no instance can take over without it.
   */
  static boolean isEligible(Node node, Now now) {
    if (now.steadyMs() < node.unfitUntilMs) {
      return false;
    }
    return !isMuchSmallerThanPlanner(node)
        || (node.plannerMissing
            && hasStoreContact(node, now)
            && now.steadyMs() - Math.max(node.plannerMissingSinceMs, node.storeContactSinceMs)
                >= SMALL_CANDIDATE_DELAY_MS);
  }

  private static boolean isMuchSmallerThanPlanner(Node node) {
    Leader leader = node.leader;
    LeaderSize leaderSize = node.leaderSize;
    return leader != null
        && leaderSize != null
        && leaderSize.epoch() == leader.epoch()
        && isMuchLarger(leaderSize.cores(), node.size.cores());
  }

  /** Returns whether one processor capacity is much larger than another; false if it is unknown. */
  static boolean isMuchLarger(double cores, double otherCores) {
    return otherCores > 0 && cores >= MUCH_LARGER_RATIO * otherCores;
  }

  /** Joins or leaves the group, and updates the capacity that is offered to the planner. */
  static void update(Node node, Now now) {
    boolean eligible = isEligible(node, now);
    if (eligible != node.groupMember) {
      node.groupMember = eligible;
      node.emit(new NodeEffect.SetGroupMembership(eligible));
    }
    // A planner follows itself as well, and must not choose itself as its successor.
    boolean fit =
        node.ready
            && node.plan == null
            && hasStoreContact(node, now)
            && now.steadyMs() >= node.unfitUntilMs
            && now.steadyMs() >= node.offersNothingUntilMs;
    double cores = fit ? node.size.cores() : 0;
    if (cores != node.offeredCores) {
      node.offeredCores = cores;
      node.emit(new NodeEffect.OfferCores(cores));
    }
  }
}
