package dev.toucanstall.core.plan;

import java.util.HashMap;
import java.util.Map;

/**
 * How much work each service has been asked for lately: a mean that forgets within about a second,
 * so that a surge is seen while machines can still come in time. Owned by the control thread.
 */
final class Arrivals {

  /** Bounds of the time in which the mean forgets all but a third, in milliseconds. */
  private static final long SHORTEST_MEMORY_MS = 700;

  private static final long LONGEST_MEMORY_MS = 1_000;

  /** Weight of a job's length in the mean of the lengths. */
  private static final double SHARE = 0.2;

  private record Sum(Load work, double memoryMs, long atMs) {

    Load workAt(long nowMs) {
      return work.times(Math.exp((atMs - nowMs) / memoryMs));
    }
  }

  private final Map<String, Sum> sums = new HashMap<>();

  /**
   * Counts a job.
   *
   * @param work milliseconds of what its tasks need
   * @param chainMs how long it takes with room for all of it
   */
  void add(String service, Load work, long chainMs, long nowMs) {
    double memory = Math.clamp(chainMs, SHORTEST_MEMORY_MS, LONGEST_MEMORY_MS);
    Sum before = sums.getOrDefault(service, new Sum(Load.NONE, memory, nowMs));
    double mean = before.memoryMs + SHARE * (memory - before.memoryMs);
    sums.put(service, new Sum(before.workAt(nowMs).plus(work), mean, nowMs));
  }

  /** Tells whether a service has been asked for any work. */
  boolean any(String service) {
    return sums.containsKey(service);
  }

  /** Returns what must be at work all the time to keep up with what arrives. */
  Load rate(String service, long nowMs) {
    Sum sum = sums.getOrDefault(service, new Sum(Load.NONE, SHORTEST_MEMORY_MS, nowMs));
    return sum.workAt(nowMs).times(1 / sum.memoryMs);
  }
}
