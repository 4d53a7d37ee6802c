package dev.toucanstall.core.node;

/**
 * What a stopping entry instance does when, in steady milliseconds. Immutable.
 *
 * @param plansUntilMs until when a planner says that it plans, so that the successor that it asks
 *     comes first
 * @param refuseFromMs from when calls are refused, as their answers might come too late
 * @param answerByMs by when calls that wait are answered, whatever is known of them then
 */
record StopTimes(long plansUntilMs, long refuseFromMs, long answerByMs) {

  /** The times of an entry instance that does not stop. */
  static final StopTimes NEVER = new StopTimes(Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE);

  /** Part of the grace time in which the successor that was asked should have taken over. */
  private static final double HANDS_OVER = 1.0 / 8;

  /** Part of the grace time in which calls are taken, long enough for clients to leave. */
  private static final double TAKES_CALLS = 1.0 / 2;

  /** Part of the grace time in which calls may wait; the rest is for writing the answers. */
  private static final double WAITS = 5.0 / 6;

  /** Returns the times of an entry instance that is killed a time after now. */
  static StopTimes of(long graceMs, long nowMs) {
    return new StopTimes(
        nowMs + (long) (graceMs * HANDS_OVER),
        nowMs + (long) (graceMs * TAKES_CALLS),
        nowMs + (long) (graceMs * WAITS));
  }
}
