package dev.toucanstall.core.node;

import dev.toucanstall.core.plan.Now;

/**
 * Decides how an entry instance stops: it tells its clients to leave, answers them for a part of
 * its grace time, refuses them after that, and ends before it is killed.
 */
final class Stopping {

  private Stopping() {}

  static void begin(Node node, long graceMs, Now now) {
    if (node.stopping) {
      return;
    }
    node.stopping = true;
    node.stopTimes = StopTimes.of(graceMs, now.steadyMs());
    node.logEvent("stopping", "grace-ms", Long.toString(graceMs));
    node.emit(new NodeEffect.LeaveGroup());
    node.emit(new NodeEffect.EndConnections());
  }

  /** Tells whether it is too late to take a call. */
  static boolean refuses(Node node, Now now) {
    return now.steadyMs() >= node.stopTimes.refuseFromMs();
  }

  /** Tells whether calls that wait must be answered now, as the process ends soon. */
  static boolean answersAll(Node node, Now now) {
    return now.steadyMs() >= node.stopTimes.answerByMs();
  }

  /** Ends the process once nobody waits for it; a planner waits a while for the next one. */
  static void exitIfDone(Node node, Now now) {
    boolean replaced = node.plan == null || answersAll(node, now);
    if (refuses(node, now) && replaced && node.pending.isEmpty()) {
      node.emit(new NodeEffect.Exit());
    }
  }
}
