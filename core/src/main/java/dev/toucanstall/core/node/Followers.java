package dev.toucanstall.core.node;

import dev.toucanstall.core.model.InstanceSize;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The entry instances that follow this planner, with their processor capacities, by the number of
 * the link that they ping over. Owned by the control thread.
 */
final class Followers {

  /** Time after the last ping when a follower counts as unresponsive, in milliseconds. */
  private static final long PING_TIMEOUT_MS = 1_000;

  /**
   * Time for which a follower counts after its last ping, in milliseconds: longer than {@link
   * PredecessorContact#VALIDITY_MS}.
   */
  static final long RETENTION_MS = 15_000;

  /** Time in which each follower that reaches a new planner has pinged it, in milliseconds. */
  static final long FIRST_PINGS_MS = 3_000;

  /** Time for which a follower must have been fit to plan before it is chosen, in milliseconds. */
  private static final long MIN_STABLE_MS = 1_000;

  /**
   * A follower that is fit to plan.
   *
   * @param cores processor capacity, in cores
   * @param stableSinceMs time of the first ping with this capacity, in milliseconds of the
   *     monotonic clock
   * @param lastPingMs time of the last ping, in milliseconds of the monotonic clock
   */
  private record Follower(double cores, long stableSinceMs, long lastPingMs) {}

  /**
   * The last ping over a link.
   *
   * @param cores processor capacity that it offered, 0 if its sender is not fit to plan
   * @param atMs time of the ping, in milliseconds of the monotonic clock
   * @param lateUntilMs time until which pings over the link may have been held up on their way, in
   *     milliseconds of the monotonic clock
   */
  private record LastPing(double cores, long atMs, long lateUntilMs) {

    /** Returns whether the sender is surely unfit to plan now. */
    private boolean showsUnfit(long nowMs) {
      return cores <= 0 && nowMs - atMs <= PING_TIMEOUT_MS && nowMs >= lateUntilMs;
    }
  }

  private final Map<Long, Follower> byLink = new HashMap<>();

  /** Last pings by link, also of followers that are not fit to plan or don't ping any more. */
  private final Map<Long, LastPing> lastPings = new HashMap<>();

  /** Start of the term, in milliseconds of the monotonic clock. */
  private long clearedMs;

  /**
   * Removes all followers, at the beginning of a term.
   *
   * @param nowMs current time, in milliseconds of the monotonic clock
   */
  void clear(long nowMs) {
    byLink.clear();
    lastPings.clear();
    clearedMs = nowMs;
  }

  /**
   * Records a ping and removes the followers that have become unresponsive.
   *
   * @param link number of the link that the ping arrived over
   * @param cores the follower's processor capacity, in cores; 0 if it is not fit to plan
   * @param nowMs current time, in milliseconds of the monotonic clock
   */
  void recordPing(long link, double cores, long nowMs) {
    lastPings.merge(link, new LastPing(cores, nowMs, 0), Followers::pingAfter);
    byLink.values().removeIf(f -> nowMs - f.lastPingMs > PING_TIMEOUT_MS);
    if (cores <= 0) {
      byLink.remove(link);
      return;
    }
    Follower previous = byLink.get(link);
    long stableSinceMs =
        previous == null || previous.cores != cores ? nowMs : previous.stableSinceMs;
    byLink.put(link, new Follower(cores, stableSinceMs, nowMs));
  }

  /**
   * Returns a ping as it counts after the one before it over the same link. Pings after a pause may
   * have been sent during it, and tell the past.
   */
  private static LastPing pingAfter(LastPing previous, LastPing next) {
    boolean paused = next.atMs - previous.atMs > PING_TIMEOUT_MS;
    long lateUntilMs =
        paused ? next.atMs + PredecessorContact.MAX_PING_DELAY_MS : previous.lateUntilMs;
    return new LastPing(next.cores, next.atMs, lateUntilMs);
  }

  /**
   * Returns whether each follower says that it is not fit to plan, as it does while it can't reach
   * the store. One that was lost lately, or has not pinged in this term yet, says nothing, and may
   * be elected.
   *
   * @param nowMs current time, in milliseconds of the monotonic clock
   * @return true if no follower that has pinged within {@link #RETENTION_MS} can be elected
   */
  boolean noneFit(long nowMs) {
    lastPings.values().removeIf(ping -> nowMs - ping.atMs > RETENTION_MS);
    boolean allHadTimeToPing = nowMs - clearedMs > FIRST_PINGS_MS;
    return allHadTimeToPing && lastPings.values().stream().allMatch(ping -> ping.showsUnfit(nowMs));
  }

  /**
   * Returns the follower that should plan in place of this instance: the one with the largest
   * processor capacity, if its capacity is much larger than this instance's own.
   *
   * @param ownSize this instance's own size
   * @param nowMs current time, in milliseconds of the monotonic clock
   * @return number of the follower's link; empty if this instance should continue to plan or its
   *     size is unknown
   */
  Optional<Long> findSuccessor(InstanceSize ownSize, long nowMs) {
    return findLargest(nowMs).filter(link -> Candidacy.isMuchLarger(cores(link), ownSize.cores()));
  }

  /**
   * Returns the follower with the largest processor capacity; of equal ones, that with the lowest
   * link number.
   *
   * @param nowMs current time, in milliseconds of the monotonic clock
   * @return number of the follower's link; empty if no follower has been fit to plan for long
   *     enough
   */
  Optional<Long> findLargest(long nowMs) {
    return byLink.entrySet().stream()
        .filter(e -> nowMs - e.getValue().stableSinceMs >= MIN_STABLE_MS)
        .max(
            Comparator.<Map.Entry<Long, Follower>>comparingDouble(e -> e.getValue().cores)
                .thenComparing(Map.Entry::getKey, Comparator.reverseOrder()))
        .map(Map.Entry::getKey);
  }

  private double cores(long link) {
    Follower follower = byLink.get(link);
    return follower == null ? 0 : follower.cores;
  }
}
