package dev.toucanstall.core.plan;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how much work arrives for each service by exponentially decaying averages.
 *
 * <p>The averages forget within about a second, so that a surge is detected while machines can
 * still be moved in time. Owned by the control thread.
 */
final class Arrivals {

  /**
   * Shortest time constant of the slow average, in milliseconds; after it, a third of a
   * contribution is left.
   */
  private static final long SHORTEST_MEMORY_MS = 700;

  /** Longest time constant of the slow average, in milliseconds. */
  private static final long LONGEST_MEMORY_MS = 1_000;

  /** Time constant of the fast average, which shows whether a surge is rising, in milliseconds. */
  private static final long QUICK_MEMORY_MS = 400;

  /** Weight of a new job's critical path in the averaged time constant. */
  private static final double SHARE = 0.2;

  /**
   * Amount of work that decays exponentially.
   *
   * @param work the work that is left at {@code atMs}
   * @param memoryMs the time constant of the decay, in milliseconds
   * @param atMs time of the last update, in milliseconds of the steady clock
   */
  private record Sum(ResourceAmount work, double memoryMs, long atMs) {

    /** Returns the decayed sum with more work added and another time constant. */
    Sum plus(ResourceAmount more, double memory, long nowMs) {
      return new Sum(workAt(nowMs).plus(more), memory, nowMs);
    }

    /** Returns the work that is left at a time. */
    ResourceAmount workAt(long nowMs) {
      return work.times(Math.exp((atMs - nowMs) / memoryMs));
    }

    /**
     * Returns the average rate of arrivals: the resources that the work keeps in use all the time.
     */
    ResourceAmount rate(long nowMs) {
      return workAt(nowMs).times(1 / memoryMs);
    }
  }

  /**
   * Averages of one service.
   *
   * @param mean the slow average
   * @param quick the fast average
   */
  private record Means(Sum mean, Sum quick) {

    /** Returns the averages of a service without arrivals. */
    static Means none(double memoryMs, long nowMs) {
      return new Means(
          new Sum(ResourceAmount.NONE, memoryMs, nowMs),
          new Sum(ResourceAmount.NONE, QUICK_MEMORY_MS, nowMs));
    }
  }

  /** Averages by service. */
  private final Map<String, Means> means = new HashMap<>();

  /**
   * Adds the work of a submitted job to the averages of its service.
   *
   * @param service name of the service
   * @param work resources that the job's tasks need, multiplied by milliseconds
   * @param chainMs duration of the job's critical path, in milliseconds
   * @param nowMs time of the submission, in milliseconds of the steady clock
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

  /** Tells whether any work has arrived for a service in this term. */
  boolean any(String service) {
    return means.containsKey(service);
  }

  /**
   * Returns the resources that must be in use all the time to keep up with the arrivals.
   *
   * <p>A surge goes on rising until the machines that are ordered now have arrived. The difference
   * between the fast and the slow average is therefore added once more to the fast one.
   */
  ResourceAmount rate(String service, long nowMs) {
    Means both = means.getOrDefault(service, Means.none(SHORTEST_MEMORY_MS, nowMs));
    ResourceAmount mean = both.mean.rate(nowMs);
    ResourceAmount quick = both.quick.rate(nowMs);
    return mean.atLeast(quick.times(2).plus(mean.times(-1)));
  }
}
