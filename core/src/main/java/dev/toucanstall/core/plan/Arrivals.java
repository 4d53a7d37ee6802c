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
  private static final long MIN_TIME_CONSTANT_MS = 700;

  /** Longest time constant of the slow average, in milliseconds. */
  private static final long MAX_TIME_CONSTANT_MS = 1_000;

  /** Time constant of the fast average, which shows whether a surge is rising, in milliseconds. */
  private static final long FAST_TIME_CONSTANT_MS = 400;

  /** Weight of a new job's critical path in the averaged time constant. */
  private static final double TIME_CONSTANT_WEIGHT = 0.2;

  /**
   * Amount of work that decays exponentially.
   *
   * @param work the work that is left at {@code updatedMs}
   * @param timeConstantMs the time constant of the decay, in milliseconds
   * @param updatedMs time of the last update, in milliseconds of the monotonic clock
   */
  private record DecayingSum(ResourceAmount work, double timeConstantMs, long updatedMs) {

    /** Returns the decayed sum with more work added and another time constant. */
    DecayingSum plus(ResourceAmount added, double newTimeConstantMs, long nowMs) {
      return new DecayingSum(workAt(nowMs).plus(added), newTimeConstantMs, nowMs);
    }

    /** Returns the work that is left at a time. */
    ResourceAmount workAt(long nowMs) {
      return work.times(Math.exp((updatedMs - nowMs) / timeConstantMs));
    }

    /**
     * Returns the average rate of arrivals: the resources that the work keeps in use all the time.
     */
    ResourceAmount rate(long nowMs) {
      return workAt(nowMs).times(1 / timeConstantMs);
    }
  }

  /**
   * Averages of one service.
   *
   * @param slow the slow average
   * @param fast the fast average
   */
  private record Averages(DecayingSum slow, DecayingSum fast) {

    /** Returns the averages of a service without arrivals. */
    static Averages none(double timeConstantMs, long nowMs) {
      return new Averages(
          new DecayingSum(ResourceAmount.NONE, timeConstantMs, nowMs),
          new DecayingSum(ResourceAmount.NONE, FAST_TIME_CONSTANT_MS, nowMs));
    }
  }

  private final Map<String, Averages> averagesByService = new HashMap<>();

  /**
   * Adds the work of a submitted job to the averages of its service.
   *
   * @param service name of the service
   * @param work resources that the job's tasks need, multiplied by milliseconds
   * @param criticalPathMs duration of the job's critical path, in milliseconds
   * @param nowMs time of the submission, in milliseconds of the monotonic clock
   */
  void add(String service, ResourceAmount work, long criticalPathMs, long nowMs) {
    double timeConstantMs = Math.clamp(criticalPathMs, MIN_TIME_CONSTANT_MS, MAX_TIME_CONSTANT_MS);
    Averages previous =
        averagesByService.getOrDefault(service, Averages.none(timeConstantMs, nowMs));
    double averagedMs =
        previous.slow.timeConstantMs
            + TIME_CONSTANT_WEIGHT * (timeConstantMs - previous.slow.timeConstantMs);
    averagesByService.put(
        service,
        new Averages(
            previous.slow.plus(work, averagedMs, nowMs),
            previous.fast.plus(work, FAST_TIME_CONSTANT_MS, nowMs)));
  }

  /** Returns whether any work has arrived for a service in this term. */
  boolean hasArrivals(String service) {
    return averagesByService.containsKey(service);
  }

  /**
   * Returns the resources that must be in use all the time to keep up with the arrivals.
   *
   * <p>A surge goes on rising until the machines that are ordered now have arrived. The difference
   * between the fast and the slow average is therefore added once more to the fast one.
   */
  ResourceAmount rate(String service, long nowMs) {
    Averages averages =
        averagesByService.getOrDefault(service, Averages.none(MIN_TIME_CONSTANT_MS, nowMs));
    ResourceAmount slow = averages.slow.rate(nowMs);
    ResourceAmount fast = averages.fast.rate(nowMs);
    return slow.atLeast(fast.times(2).plus(slow.times(-1)));
  }
}
