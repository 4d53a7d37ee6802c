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

  /** The same of a second mean, which shows whether a surge rises, in milliseconds. */
  private static final long QUICK_MEMORY_MS = 400;

  /** Weight of a job's length in the mean of the lengths. */
  private static final double SHARE = 0.2;

  private record Sum(ResourceAmount work, double memoryMs, long atMs) {

    Sum plus(ResourceAmount more, double memory, long nowMs) {
      return new Sum(workAt(nowMs).plus(more), memory, nowMs);
    }

    ResourceAmount workAt(long nowMs) {
      return work.times(Math.exp((atMs - nowMs) / memoryMs));
    }

    ResourceAmount rate(long nowMs) {
      return workAt(nowMs).times(1 / memoryMs);
    }
  }

  /** The mean and the quicker one. */
  private record Means(Sum mean, Sum quick) {

    static Means none(double memoryMs, long nowMs) {
      return new Means(
          new Sum(ResourceAmount.NONE, memoryMs, nowMs),
          new Sum(ResourceAmount.NONE, QUICK_MEMORY_MS, nowMs));
    }
  }

  private final Map<String, Means> means = new HashMap<>();

  /**
   * Counts a job.
   *
   * @param work milliseconds of what its tasks need
   * @param chainMs how long it takes with room for all of it
   */
  void add(String service, ResourceAmount work, long chainMs, long nowMs) {
    double memory = Math.clamp(chainMs, SHORTEST_MEMORY_MS, LONGEST_MEMORY_MS);
    Means before = means.getOrDefault(service, Means.none(memory, nowMs));
    double length = before.mean.memoryMs + SHARE * (memory - before.mean.memoryMs);
    means.put(
        service,
        new Means(
            before.mean.plus(work, length, nowMs),
            before.quick.plus(work, QUICK_MEMORY_MS, nowMs)));
  }

  /** Tells whether a service has been asked for any work. */
  boolean any(String service) {
    return means.containsKey(service);
  }

  /**
   * Returns what must be at work all the time to keep up with what arrives. While a surge rises it
   * goes on rising until the machines come that are ordered now, so the rise counts once more.
   */
  ResourceAmount rate(String service, long nowMs) {
    Means both = means.getOrDefault(service, Means.none(SHORTEST_MEMORY_MS, nowMs));
    ResourceAmount mean = both.mean.rate(nowMs);
    ResourceAmount quick = both.quick.rate(nowMs);
    return mean.atLeast(quick.times(2).plus(mean.times(-1)));
  }
}
