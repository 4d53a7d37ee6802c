package dev.toucanstall.core.node;

/**
 * The deadlines of an entry instance that stops gracefully, in milliseconds of the monotonic clock.
 * Immutable.
 *
 * @param reportsPlanningUntilMs time until which a planner still reports that it plans, so that no
 *     other entry instance is elected before the successor that it has asked
 * @param refuseFromMs time from which new calls are refused, as their answers could come too late
 * @param answerByMs time at which all pending calls are answered, even if their outcome is unknown
 */
record StopDeadlines(long reportsPlanningUntilMs, long refuseFromMs, long answerByMs) {

  /** The deadlines of an entry instance that is not stopping; they never pass. */
  static final StopDeadlines NOT_STOPPING =
      new StopDeadlines(Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE);

  /** Share of the grace time in which the requested successor should become the planner. */
  private static final double HANDOVER_SHARE = 1.0 / 8;

  /** Share of the grace time in which calls are accepted, long enough for clients to disconnect. */
  private static final double ACCEPTING_SHARE = 1.0 / 2;

  /** Share of the grace time in which calls may be pending; the rest is for writing the answers. */
  private static final double PENDING_SHARE = 5.0 / 6;

  /** Returns the deadlines of an entry instance whose process is killed after the grace time. */
  static StopDeadlines of(long graceMs, long nowMs) {
    return new StopDeadlines(
        nowMs + (long) (graceMs * HANDOVER_SHARE),
        nowMs + (long) (graceMs * ACCEPTING_SHARE),
        nowMs + (long) (graceMs * PENDING_SHARE));
  }
}
