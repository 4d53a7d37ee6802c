package dev.toucanstall.core.node;

import dev.toucanstall.core.job.JobAnswer;
import dev.toucanstall.core.job.JobAnswer.Reason;
import dev.toucanstall.core.job.JobCall;
import dev.toucanstall.core.model.Address;
import dev.toucanstall.core.plan.Now;
import dev.toucanstall.core.plan.PlanEvent;
import java.util.List;
import java.util.Map;

/**
 * Delivers calls to the planner and answers to clients. A call is sent again if the planner is
 * replaced, which is safe because all calls are idempotent.
 */
final class Delivery {

  /** Longest time that a call waits for its answer, in milliseconds. */
  static final long MAX_TIMEOUT_MS = 10_000;

  /** Part of a client's waiting time that is left for returning the answer, in milliseconds. */
  private static final long RESPONSE_MARGIN_MS = 200;

  private static final long MIN_TIMEOUT_MS = 200;

  /**
   * Time that a call waits for the next planner, in milliseconds: longer than an election takes.
   */
  static final long FAILOVER_WAIT_MS = 800;

  private Delivery() {}

  /** Sends a client's call to the planner, or refuses it at once if no planner is known. */
  static void deliver(Node node, long ticket, JobCall call, long waitMs, Now now) {
    long timeoutMs = Math.clamp(waitMs - RESPONSE_MARGIN_MS, MIN_TIMEOUT_MS, MAX_TIMEOUT_MS);
    PendingCall pending = new PendingCall(call, now.steadyMs(), now.steadyMs() + timeoutMs);
    pending.failoverDeadlineMs = now.steadyMs() + FAILOVER_WAIT_MS;
    if (node.plan == null && node.leader == null) {
      refuse(node, ticket, pending, now);
      return;
    }
    node.pendingCalls.put(ticket, pending);
    send(node, ticket, pending, now);
  }

  private static void refuse(Node node, long ticket, PendingCall pending, Now now) {
    logUnanswered(node, "call-refused", ticket, pending, now);
    node.emit(
        new NodeEffect.Answer(
            ticket, new JobAnswer.Refused(Reason.NO_PLANNER, Admission.RETRY_AFTER_MS)));
  }

  /** Sends a call to the planner; if the planner cannot be reached, the call stays pending. */
  private static void send(Node node, long ticket, PendingCall pending, Now now) {
    Leader leader = node.leader;
    if (node.plan != null) {
      pending.sentToLocalPlanner = true;
      Terms.applyToPlan(node, new PlanEvent.Called(ticket, pending.call), now);
    } else if (leader != null && node.leaderReachable) {
      pending.markSent(leader.address(), now.steadyMs());
      node.emit(new NodeEffect.AskPeer(leader.address(), ticket, pending.call));
    }
  }

  static void sendWaiting(Node node, Now now) {
    List.copyOf(node.pendingCalls.entrySet()).stream()
        .filter(e -> e.getValue().awaitedPlanner == null && !e.getValue().sentToLocalPlanner)
        .forEach(e -> send(node, e.getKey(), e.getValue(), now));
  }

  /** Handles a call that another entry instance forwarded to this one as the planner. */
  static void peerAsked(Node node, NodeEvent.PeerAsked asked, Now now) {
    if (node.plan == null) {
      node.emit(new NodeEffect.DeclinePeer(asked.link(), asked.number(), false));
      return;
    }
    long ticket = node.nextTicket++;
    node.originsByTicket.put(ticket, new Node.Origin(asked.link(), asked.number()));
    Terms.applyToPlan(node, new PlanEvent.Called(ticket, asked.call()), now);
  }

  /** Returns the planner's answer to the client or entry instance that the call came from. */
  static void returnAnswer(Node node, long ticket, JobAnswer answer) {
    Node.Origin origin = node.originsByTicket.remove(ticket);
    if (origin != null) {
      node.emit(new NodeEffect.AnswerPeer(origin.link(), origin.number(), answer));
      return;
    }
    PendingCall pending = node.pendingCalls.remove(ticket);
    if (pending != null) {
      node.emit(new NodeEffect.Answer(ticket, finalAnswer(node, ticket, pending, answer)));
    }
  }

  /**
   * Returns the answer for the client. A refusal holds for the copy of the call that it answers
   * only. If an earlier copy may still arrive at a planner, or was accepted there, the outcome is
   * unknown.
   */
  private static JobAnswer finalAnswer(
      Node node, long ticket, PendingCall pending, JobAnswer answer) {
    if (answer instanceof JobAnswer.Refused && pending.changesJob() && pending.maybeStored) {
      node.logEvent(
          "refusal-uncertain",
          "call",
          describe(pending.call),
          "queue",
          pending.call.queue(),
          "number",
          Long.toString(ticket));
      return new JobAnswer.Uncertain();
    }
    return answer;
  }

  /**
   * Handles an answer of a remote planner. Of a planner that the call was sent to before, only an
   * effect that is stored counts: it may refuse a call that the next planner accepts.
   */
  static void peerAnswered(Node node, NodeEvent.PeerAnswered answered) {
    PendingCall pending = node.pendingCalls.get(answered.ticket());
    if (pending == null) {
      return;
    }
    if (answered.from().equals(pending.awaitedPlanner) || isStoredEffect(answered.answer())) {
      returnAnswer(node, answered.ticket(), answered.answer());
    }
  }

  /** Returns whether an answer reports an effect that is stored, so that it holds for good. */
  private static boolean isStoredEffect(JobAnswer answer) {
    return answer instanceof JobAnswer.Accepted || answer instanceof JobAnswer.Cancelled;
  }

  /**
   * Handles a call that the receiver declined, as it is not, or no longer, the planner. The call
   * waits for the next planner.
   */
  static void peerDeclined(Node node, NodeEvent.PeerDeclined declined, Now now) {
    PendingCall pending = node.pendingCalls.get(declined.ticket());
    if (pending == null || !declined.from().equals(pending.awaitedPlanner)) {
      return;
    }
    boolean maybeStored = declined.maybeStored();
    Leader leader = node.leader;
    if (leader != null && leader.address().equals(pending.awaitedPlanner)) {
      node.leaderReachable = false;
    }
    if (maybeStored || pending.maybeStored) {
      pending.markPlannerLost();
    } else {
      pending.awaitedPlanner = null;
      pending.failoverDeadlineMs = now.steadyMs() + FAILOVER_WAIT_MS;
    }
  }

  /**
   * Handles a call that the link did not accept: the next tick sends it again. This says nothing
   * about the state of the link, which has events of its own.
   */
  static void askUnsent(Node node, NodeEvent.AskUnsent unsent) {
    PendingCall pending = node.pendingCalls.get(unsent.ticket());
    if (pending != null && unsent.to().equals(pending.awaitedPlanner)) {
      pending.awaitedPlanner = null;
    }
  }

  static void linkUp(Node node, Address address, Now now) {
    Leader leader = node.leader;
    if (leader != null && leader.address().equals(address) && !node.leaderReachable) {
      node.logEvent("planner-reachable", "planner", leader.member());
      node.leaderReachable = true;
      node.leaderLastHeardMs = now.steadyMs();
      node.connectingToLeader = false;
      Terms.awaitFirstReport(node, now);
      sendWaiting(node, now);
    }
  }

  /**
   * Handles a link that broke or could not be established. The outcome of the calls sent over it is
   * unknown.
   */
  static void linkDown(Node node, NodeEvent.LinkDown down, Now now) {
    Leader leader = node.leader;
    if (leader != null && leader.address().equals(down.address())) {
      if (node.leaderReachable || node.connectingToLeader) {
        node.logEvent(
            "planner-unreachable",
            "planner",
            leader.member(),
            "why",
            down.reason(),
            "silent-ms",
            Long.toString(now.steadyMs() - node.leaderLastHeardMs),
            "waiting-calls",
            Integer.toString(node.pendingCalls.size()));
      }
      Terms.linkLost(node, now);
      node.leaderReachable = false;
      node.leaderReportsPlanning = false;
      node.connectingToLeader = false;
    }
    node.pendingCalls.values().stream()
        .filter(p -> down.address().equals(p.awaitedPlanner))
        .forEach(PendingCall::markPlannerLost);
  }

  /** Refuses the calls that no planner can have stored once no new planner has come in time. */
  private static void refuseUnsent(Node node, Now now) {
    List.copyOf(node.pendingCalls.entrySet()).stream()
        .filter(e -> e.getValue().isUnsent() && now.steadyMs() >= e.getValue().failoverDeadlineMs)
        .forEach(
            e -> {
              node.pendingCalls.remove(e.getKey());
              refuse(node, e.getKey(), e.getValue(), now);
            });
  }

  /** Answers the calls that have timed out, and all calls if the process is about to end. */
  static void expire(Node node, Now now) {
    refuseUnsent(node, now);
    List<Map.Entry<Long, PendingCall>> expired =
        node.pendingCalls.entrySet().stream()
            .filter(
                e -> now.steadyMs() >= e.getValue().deadlineMs || Stopping.mustAnswerAll(node, now))
            .map(e -> Map.entry(e.getKey(), e.getValue()))
            .toList();
    for (Map.Entry<Long, PendingCall> entry : expired) {
      node.pendingCalls.remove(entry.getKey());
      logUnanswered(node, "call-expired", entry.getKey(), entry.getValue(), now);
      node.emit(new NodeEffect.Answer(entry.getKey(), timeoutAnswer(node, entry.getValue(), now)));
    }
  }

  private static JobAnswer timeoutAnswer(Node node, PendingCall pending, Now now) {
    if (pending.isUncertain()) {
      return new JobAnswer.Uncertain();
    }
    return Stopping.mustAnswerAll(node, now)
        ? new JobAnswer.Refused(Reason.STOPPING, 0)
        : new JobAnswer.Refused(Reason.NO_PLANNER, Admission.RETRY_AFTER_MS);
  }

  /** Logs the end of a call that no planner answered, with all that is known of its planners. */
  private static void logUnanswered(
      Node node, String event, long ticket, PendingCall pending, Now now) {
    Leader leader = node.leader;
    Address lastPlanner = pending.lastPlanner;
    node.logEvent(
        event,
        "call",
        describe(pending.call),
        "queue",
        pending.call.queue(),
        "account",
        pending.call instanceof JobCall.Submit submit ? submit.account() : "",
        "reason",
        Reason.NO_PLANNER.name(),
        "number",
        Long.toString(ticket),
        "age-ms",
        Long.toString(now.steadyMs() - pending.arrivedMs),
        "asked",
        lastPlanner == null ? "" : lastPlanner.toString(),
        "asked-ago-ms",
        lastPlanner == null ? "" : Long.toString(now.steadyMs() - pending.lastSentMs),
        "lost",
        Boolean.toString(pending.maybeStored),
        "planned-here",
        Boolean.toString(pending.sentToLocalPlanner),
        "planner",
        leader == null ? "" : leader.member(),
        "link-up",
        Boolean.toString(node.leaderReachable));
  }

  private static String describe(JobCall call) {
    return switch (call) {
      case JobCall.Submit submit -> "submit " + submit.job();
      case JobCall.Show show -> "show " + show.job();
      case JobCall.Cancel cancel -> "cancel " + cancel.job();
      case JobCall.Count count -> "count " + count.queue();
    };
  }
}
