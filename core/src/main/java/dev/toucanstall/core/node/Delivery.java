package dev.toucanstall.core.node;

import dev.toucanstall.core.job.JobAnswer;
import dev.toucanstall.core.job.JobAnswer.Reason;
import dev.toucanstall.core.job.JobCall;
import dev.toucanstall.core.model.Address;
import dev.toucanstall.core.plan.Now;
import dev.toucanstall.core.plan.PlanEvent;
import java.util.List;
import java.util.Map;

/** Brings calls to the planner, again if that is replaced: every call is idempotent. */
final class Delivery {

  /** Longest wait for the planner's answer, in milliseconds. */
  private static final long LONGEST_WAIT_MS = 10_000;

  /** Time that an answer needs back to the client, in milliseconds. */
  private static final long WAY_BACK_MS = 200;

  private static final long SHORTEST_WAIT_MS = 200;

  /** How long a call waits for the next planner, in milliseconds: longer than an election takes. */
  static final long NEXT_PLANNER_MS = 800;

  private Delivery() {}

  static void deliver(Node node, long ticket, JobCall call, long waitMs, Now now) {
    long wait = Math.clamp(waitMs - WAY_BACK_MS, SHORTEST_WAIT_MS, LONGEST_WAIT_MS);
    Pending pending = new Pending(call, now.steadyMs(), now.steadyMs() + wait);
    pending.waitUntilMs = now.steadyMs() + NEXT_PLANNER_MS;
    if (node.plan == null && node.leader == null) {
      refuse(node, ticket, pending, now);
      return;
    }
    node.pending.put(ticket, pending);
    send(node, ticket, pending, now);
  }

  private static void refuse(Node node, long ticket, Pending pending, Now now) {
    logCallEnd(node, "call-refused", ticket, pending, now);
    node.emit(
        new NodeEffect.Answer(
            ticket, new JobAnswer.Refused(Reason.NO_PLANNER, Admission.RETRY_AFTER_MS)));
  }

  private static void send(Node node, long ticket, Pending pending, Now now) {
    Leader leader = node.leader;
    if (node.plan != null) {
      pending.planned = true;
      Terms.tell(node, new PlanEvent.Called(ticket, pending.call), now);
    } else if (leader != null && node.leaderReachable) {
      pending.ask(leader.address(), now.steadyMs());
      node.emit(new NodeEffect.AskPeer(leader.address(), ticket, pending.call));
    }
  }

  /** Sends the calls that wait for a planner. */
  static void sendWaiting(Node node, Now now) {
    List.copyOf(node.pending.entrySet()).stream()
        .filter(e -> e.getValue().asked == null && !e.getValue().planned)
        .forEach(e -> send(node, e.getKey(), e.getValue(), now));
  }

  static void asked(Node node, NodeEvent.PeerAsked asked, Now now) {
    if (node.plan == null) {
      node.emit(new NodeEffect.DeclinePeer(asked.link(), asked.number(), false));
      return;
    }
    long ticket = node.nextTicket++;
    node.origins.put(ticket, new Node.Origin(asked.link(), asked.number()));
    Terms.tell(node, new PlanEvent.Called(ticket, asked.call()), now);
  }

  /** Passes an answer on to the client or entry instance that asked. */
  static void answered(Node node, long ticket, JobAnswer answer) {
    Node.Origin origin = node.origins.remove(ticket);
    if (origin != null) {
      node.emit(new NodeEffect.AnswerPeer(origin.link(), origin.number(), answer));
    } else if (node.pending.remove(ticket) != null) {
      node.emit(new NodeEffect.Answer(ticket, answer));
    }
  }

  /** Takes an answer only from whom the call was asked last: the next planner may accept it. */
  static void peerAnswered(Node node, NodeEvent.PeerAnswered answered) {
    Pending pending = node.pending.get(answered.ticket());
    if (pending != null && answered.from().equals(pending.asked)) {
      answered(node, answered.ticket(), answered.answer());
    }
  }

  static void declined(Node node, NodeEvent.PeerDeclined declined, Now now) {
    Pending pending = node.pending.get(declined.ticket());
    if (pending == null || !declined.from().equals(pending.asked)) {
      return;
    }
    boolean taken = declined.maybeStored();
    Leader leader = node.leader;
    if (leader != null && leader.address().equals(pending.asked)) {
      node.leaderReachable = false;
    }
    if (taken || pending.taken) {
      pending.lose();
    } else {
      pending.asked = null;
      pending.waitUntilMs = now.steadyMs() + NEXT_PLANNER_MS;
    }
  }

  /** A link that did not take a call may take it later; whether it works is told by itself. */
  static void unsent(Node node, NodeEvent.AskUnsent unsent) {
    Pending pending = node.pending.get(unsent.ticket());
    if (pending != null && unsent.to().equals(pending.asked)) {
      pending.asked = null;
    }
  }

  static void linkUp(Node node, Address address, Now now) {
    Leader leader = node.leader;
    if (leader != null && leader.address().equals(address) && !node.leaderReachable) {
      node.logEvent("planner-reachable", "planner", leader.member());
      node.leaderReachable = true;
      node.leaderHeardMs = now.steadyMs();
      node.linking = false;
      Terms.awaitFirstWord(node, now);
      sendWaiting(node, now);
    }
  }

  /** Takes note of what the planner says of itself. */
  static void linkDown(Node node, NodeEvent.LinkDown down, Now now) {
    Leader leader = node.leader;
    if (leader != null && leader.address().equals(down.address())) {
      if (node.leaderReachable || node.linking) {
        node.logEvent(
            "planner-unreachable",
            "planner",
            leader.member(),
            "why",
            down.reason(),
            "silent-ms",
            Long.toString(now.steadyMs() - node.leaderHeardMs),
            "waiting-calls",
            Integer.toString(node.pending.size()));
      }
      Terms.linkLost(node, now);
      node.leaderReachable = false;
      node.leaderPlans = false;
      node.linking = false;
    }
    node.pending.values().stream()
        .filter(p -> down.address().equals(p.asked))
        .forEach(Pending::lose);
  }

  /** Refuses what no planner can have stored, as the next one has not come in time. */
  private static void refuseUnsent(Node node, Now now) {
    List.copyOf(node.pending.entrySet()).stream()
        .filter(e -> e.getValue().unsent() && now.steadyMs() >= e.getValue().waitUntilMs)
        .forEach(
            e -> {
              node.pending.remove(e.getKey());
              refuse(node, e.getKey(), e.getValue(), now);
            });
  }

  /** Ends the wait of calls whose time is up, and of all before the process ends. */
  static void expire(Node node, Now now) {
    refuseUnsent(node, now);
    List<Map.Entry<Long, Pending>> late =
        node.pending.entrySet().stream()
            .filter(
                e -> now.steadyMs() >= e.getValue().deadlineMs || Stopping.answersAll(node, now))
            .map(e -> Map.entry(e.getKey(), e.getValue()))
            .toList();
    for (Map.Entry<Long, Pending> entry : late) {
      node.pending.remove(entry.getKey());
      logCallEnd(node, "call-expired", entry.getKey(), entry.getValue(), now);
      node.emit(new NodeEffect.Answer(entry.getKey(), expired(node, entry.getValue(), now)));
    }
  }

  private static JobAnswer expired(Node node, Pending pending, Now now) {
    if (pending.uncertain()) {
      return new JobAnswer.Uncertain();
    }
    return Stopping.answersAll(node, now)
        ? new JobAnswer.Refused(Reason.STOPPING, 0)
        : new JobAnswer.Refused(Reason.NO_PLANNER, Admission.RETRY_AFTER_MS);
  }

  /** Notes the end of a call that no planner answered, with all that was known of planners. */
  private static void logCallEnd(Node node, String event, long ticket, Pending pending, Now now) {
    Leader leader = node.leader;
    Address asked = pending.lastAsked;
    node.logEvent(
        event,
        "call",
        name(pending.call),
        "queue",
        pending.call.queue(),
        "account",
        pending.call instanceof JobCall.Submit submit ? submit.account() : "",
        "reason",
        Reason.NO_PLANNER.name(),
        "number",
        Long.toString(ticket),
        "age-ms",
        Long.toString(now.steadyMs() - pending.sinceMs),
        "asked",
        asked == null ? "" : asked.toString(),
        "asked-ago-ms",
        asked == null ? "" : Long.toString(now.steadyMs() - pending.lastAskedMs),
        "lost",
        Boolean.toString(pending.taken),
        "planned-here",
        Boolean.toString(pending.planned),
        "planner",
        leader == null ? "" : leader.member(),
        "link-up",
        Boolean.toString(node.leaderReachable));
  }

  private static String name(JobCall call) {
    return switch (call) {
      case JobCall.Submit submit -> "submit " + submit.job();
      case JobCall.Show show -> "show " + show.job();
      case JobCall.Cancel cancel -> "cancel " + cancel.job();
      case JobCall.Count count -> "count " + count.queue();
    };
  }
}
