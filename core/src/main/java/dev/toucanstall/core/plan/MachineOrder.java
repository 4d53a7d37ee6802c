package dev.toucanstall.core.plan;

/**
 * Order to the platform that changes a machine, until its outcome is final. Its intent is stored
 * before it is sent, so that the next planner counts with it. Owned by the control thread.
 */
abstract class MachineOrder {

  /** Longest time from sending an order until the platform carries it out, in milliseconds. */
  static final long MAX_DELAY_MS = 15_000;

  /**
   * Pause before the order of an earlier planner is sent again, in milliseconds. The store has
   * fenced that planner before this one's term, so its permission ends within 2.6 s by a slow
   * clock, and an order that it has sent by then arrives within the rest. It sends only orders
   * whose intent it has stored: all others are this planner's alone and need no pause.
   */
  private static final long SUCCESSION_PAUSE_MS = 3_000;

  final String machine;

  /** Id of the backend server that runs on the machine as far as known, empty if none. */
  final String server;

  /** Whether the intent is stored; the order is sent only then. */
  boolean stored;

  /** Whether a request to the platform is under way. */
  boolean requestPending;

  /**
   * Latest time at which an unanswered request may be carried out, in milliseconds of the monotonic
   * clock, 0 if there is none.
   */
  long mayApplyUntilMs;

  /** Earliest time of the next request, in milliseconds of the monotonic clock. */
  long retryAfterMs;

  MachineOrder(String machine, String server) {
    this.machine = machine;
    this.server = server;
  }

  /** Takes over an order that an earlier planner has stored, and may have sent. */
  void restored(Now now) {
    stored = true;
    mayApplyUntilMs = now.steadyMs() + MAX_DELAY_MS;
    retryAfterMs = now.steadyMs() + SUCCESSION_PAUSE_MS;
  }

  /** Records that a request had no answer, so that it may yet be carried out. */
  void unanswered(Now now) {
    mayApplyUntilMs = now.steadyMs() + MAX_DELAY_MS;
  }

  /** Records that a request has ended, and that the next one waits for a pause. */
  void requestEnded(long pauseMs, Now now) {
    requestPending = false;
    retryAfterMs = now.steadyMs() + pauseMs;
  }

  /** Returns whether a request is due, and if so counts it as under way. */
  boolean beginRequestIfDue(Now now) {
    if (!stored || requestPending || now.steadyMs() < retryAfterMs) {
      return false;
    }
    requestPending = true;
    return true;
  }

  /** Returns whether an earlier request for this order may have been carried out. */
  boolean mayHaveBegun() {
    return mayApplyUntilMs > 0;
  }

  /** Returns whether an unanswered request may still be carried out. */
  boolean mayStillApply(Now now) {
    return now.steadyMs() < mayApplyUntilMs;
  }
}
