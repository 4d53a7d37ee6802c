package dev.toucanstall.core.node;

import dev.toucanstall.core.model.InstanceSize;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The entry instances that follow a planner, by link, with the size of their processors. Owned by
 * the control thread.
 */
final class Followers {

  /** A follower that has not pinged for this long is gone, in milliseconds. */
  private static final long SILENT_MS = 1_000;

  /** How long a follower must have been fit to plan before it is chosen, in milliseconds. */
  private static final long SETTLE_MS = 1_000;

  /** How many times larger a follower's processor must be, so that no two yield to each other. */
  private static final double MUCH_LARGER = 1.5;

  private record Follower(double cores, long sinceMs, long seenMs) {}

  private final Map<Long, Follower> byLink = new HashMap<>();

  /** Forgets all of them, at the beginning of a term. */
  void clear() {
    byLink.clear();
  }

  /**
   * Notes a ping.
   *
   * @param link the link that it came by
   * @param cores its processor time a second, in cores; 0 if the follower is not fit to plan
   * @param nowMs the time
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
   * Returns the link of the follower that should plan in place of an instance: the one with the
   * largest processor, if that is much larger.
   *
   * @param own the instance's own size
   * @param nowMs the time
   * @return the link, or nothing if the instance should go on or its size is unknown
   */
  Optional<Long> better(InstanceSize own, long nowMs) {
    if (own.cores() <= 0) {
      return Optional.empty();
    }
    return largest(nowMs).filter(link -> cores(link) >= MUCH_LARGER * own.cores());
  }

  /**
   * Returns the link of the follower with the largest processor that is fit to plan.
   *
   * @param nowMs the time
   * @return the link, or nothing if there is none
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
