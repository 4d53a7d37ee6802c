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
  private static final long SILENT_MS = 1_000;

  /** Time for which a follower must have been fit to plan before it is chosen, in milliseconds. */
  private static final long SETTLE_MS = 1_000;

  /**
   * Minimum ratio of a successor's processor capacity to this instance's own. At a ratio of 1, two
   * instances of similar capacity would keep yielding to each other.
   */
  private static final double MUCH_LARGER = 1.5;

  /**
   * A follower that is fit to plan.
   *
   * @param cores processor capacity, in cores
   * @param sinceMs time of the first ping with this capacity, in steady milliseconds
   * @param seenMs time of the last ping, in steady milliseconds
   */
  private record Follower(double cores, long sinceMs, long seenMs) {}

  private final Map<Long, Follower> byLink = new HashMap<>();

  /** Removes all followers, at the beginning of a term. */
  void clear() {
    byLink.clear();
  }

  /**
   * Records a ping and removes the followers that have become unresponsive.
   *
   * @param link number of the link that the ping arrived over
   * @param cores the follower's processor capacity, in cores; 0 if it is not fit to plan
   * @param nowMs current time, in steady milliseconds
   */
  void pinged(long link, double cores, long nowMs) {
    byLink.values().removeIf(f -> nowMs - f.seenMs > SILENT_MS);
    if (cores <= 0) {
      byLink.remove(link);
      return;
    }
    Follower known = byLink.get(link);
    long since = known == null || known.cores != cores ? nowMs : known.sinceMs;
    byLink.put(link, new Follower(cores, since, nowMs));
  }

  /**
   * Returns the follower that should plan in place of this instance: the one with the largest
   * processor capacity, if that is much larger than this instance's own.
   *
   * @param own this instance's own size
   * @param nowMs current time, in steady milliseconds
   * @return number of the follower's link; empty if this instance should continue to plan or its
   *     size is unknown
   */
  Optional<Long> better(InstanceSize own, long nowMs) {
    if (own.cores() <= 0) {
      return Optional.empty();
    }
    return largest(nowMs).filter(link -> cores(link) >= MUCH_LARGER * own.cores());
  }

  /**
   * Returns the follower with the largest processor capacity; of equal ones, that with the lowest
   * link number.
   *
   * @param nowMs current time, in steady milliseconds
   * @return number of the follower's link; empty if no follower has been fit to plan for long
   *     enough
   */
  Optional<Long> largest(long nowMs) {
    return byLink.entrySet().stream()
        .filter(e -> nowMs - e.getValue().sinceMs >= SETTLE_MS)
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
