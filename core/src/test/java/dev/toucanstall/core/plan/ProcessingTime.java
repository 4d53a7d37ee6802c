package dev.toucanstall.core.plan;

import org.jspecify.annotations.Nullable;

/**
 * Processing time of an event on the control thread of an entry instance, computed from the number
 * of placement passes, so that a simulation is repeatable.
 *
 * @param eventMicros cost of each event on one core, in microseconds
 * @param scanNanos cost of each backend server and each open job in a placement pass on one core,
 *     in nanoseconds
 */
record ProcessingTime(long eventMicros, long scanNanos) {

  static final ProcessingTime NONE = new ProcessingTime(0, 0);
  private static final long NANOS_PER_MICRO = 1_000;

  /**
   * Returns the number of placement passes since the term began, 0 if the entry instance doesn't
   * plan.
   */
  static long placementPasses(@Nullable Plan plan) {
    return plan == null ? 0 : plan.passes;
  }

  /**
   * Returns the processing time of an event, in microseconds.
   *
   * @param passes placement passes that the event caused
   * @param plan state of the planner, null if the entry instance doesn't plan
   * @param cores processor time of the entry instance in a second, in cores
   */
  long micros(long passes, @Nullable Plan plan, double cores) {
    long scanned = plan == null ? 0 : passes * (plan.servers.size() + plan.openJobs());
    return (long) ((eventMicros + scanned * scanNanos / NANOS_PER_MICRO) / cores);
  }
}
