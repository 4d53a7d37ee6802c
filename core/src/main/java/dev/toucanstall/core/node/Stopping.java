package dev.toucanstall.core.node;

import dev.toucanstall.core.plan.Now;

/**
 * Decides how an entry instance stops gracefully. It closes connections with the next answer,
 * serves calls for a part of its grace time, refuses them afterwards, and exits before it is
 * killed.
 */
final class Stopping {

  private Stopping() {}

  static void begin(Node node, long graceMs, Now now) {
    if (node.stopping) {
      return;
    }
    node.stopping = true;
    node.stopDeadlines = StopDeadlines.of(graceMs, now.steadyMs());
    node.logEvent("stopping", "grace-ms", Long.toString(graceMs));
    node.emit(new NodeEffect.LeaveGroup());
    node.emit(new NodeEffect.EndConnections());
  }

  /** Returns whether new calls are refused, as their answers could come too late. */
  static boolean refusesCalls(Node node, Now now) {
    return now.steadyMs() >= node.stopDeadlines.refuseFromMs();
  }

  /** Returns whether all pending calls must be answered now, as the process is killed soon. */
  static boolean mustAnswerAll(Node node, Now now) {
    return now.steadyMs() >= node.stopDeadlines.answerByMs();
  }

  /**
   * Exits once new calls are refused and no call is pending. A planner first waits for its
   * successor, at most until all pending calls must be answered.
   */
  static void exitIfDone(Node node, Now now) {
    boolean planningEnded = node.plan == null || mustAnswerAll(node, now);
    if (refusesCalls(node, now) && planningEnded && node.pendingCalls.isEmpty()) {
      node.emit(new NodeEffect.Exit());
    }
  }
}
