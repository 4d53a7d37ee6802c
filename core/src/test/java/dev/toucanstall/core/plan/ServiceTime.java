package dev.toucanstall.core.plan;

import org.jspecify.annotations.Nullable;

/**
 * How long the control thread of an entry instance takes over an event. It follows from what the
 * reducer looked at, so that a run repeats exactly.
 *
 * @param eventMicros what each event costs on one core, in microseconds
 * @param lookNanos what each look at a backend server or an open job costs, in nanoseconds
 */
record ServiceTime(long eventMicros, long lookNanos) {

  /** Events cost nothing. */
  static final ServiceTime NONE = new ServiceTime(0, 0);

  private static final long NANOS_PER_MICRO = 1_000;

  /** Returns how much a plan has looked at since its term began. */
  static long looks(@Nullable Plan plan) {
    return plan == null ? 0 : plan.passes;
  }

  /**
   * Returns the time of an event, in microseconds.
   *
   * @param passes how many passes the event brought about
   * @param plan the plan, null if the entry instance does not plan
   * @param cores the entry instance's share of a core
   */
  long of(long passes, @Nullable Plan plan, double cores) {
    long looks = plan == null ? 0 : passes * (plan.servers.size() + plan.openJobs());
    return (long) ((eventMicros + looks * lookNanos / NANOS_PER_MICRO) / cores);
  }
}
