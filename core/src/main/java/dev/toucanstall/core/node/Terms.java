package dev.toucanstall.core.node;

import dev.toucanstall.core.job.Catalog;
import dev.toucanstall.core.job.WaveOrder;
import dev.toucanstall.core.plan.Now;
import dev.toucanstall.core.plan.Plan;
import dev.toucanstall.core.plan.PlanEffect;
import dev.toucanstall.core.plan.PlanEvent;
import dev.toucanstall.core.plan.PlanReducer;
import dev.toucanstall.core.plan.Succession;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Decides when this entry instance becomes the planner and when it resigns.
 *
 * <p>The group of entry instances names a candidate, which starts an election while no planner is
 * active. A planner can also ask one of its followers to take over. An election is decided by the
 * store: each planner gets a higher epoch, which fences the earlier ones.
 */
final class Terms {

  /** Backoff after a lost or failed election, in milliseconds. */
  private static final long ELECTION_BACKOFF_MS = 150;

  /**
   * Time since the store last confirmed the planner's epoch after which the planner reports that it
   * is not active, in milliseconds. Confirmations are requested every 0.7 s; without them the
   * planner can store nothing.
   */
  private static final long CONFIRMATION_TIMEOUT_MS = 1_300;

  /**
   * Time that a newly named planner has to report whether it plans, in milliseconds. If no link to
   * it can be established, the time ends at once.
   */
  private static final long NEW_PLANNER_TIMEOUT_MS = 1_000;

  /** Time that the planner has for its first report on a new link, in milliseconds. */
  private static final long FIRST_REPORT_TIMEOUT_MS = 400;

  /** Time for establishing another link after one broke, in milliseconds. */
  private static final long RELINK_TIMEOUT_MS = 400;

  /** Time since its last report after which a planner may be replaced, in milliseconds. */
  private static final long REPORT_TIMEOUT_MS = 2_000;

  private Terms() {}

  static void joined(Node node, boolean candidate, Now now) {
    if (candidate && !isPlannerActive(node, now) && node.candidacy.isEligible(node, now)) {
      startElection(node, "no planner is active", now);
    }
  }

  private static void startElection(Node node, String reason, Now now) {
    if (node.electionInProgress
        || !node.plannerQueryAnswered
        || node.stopping
        || node.catalog == null
        || now.steadyMs() < node.nextElectionMs) {
      return;
    }
    node.electionInProgress = true;
    node.logEvent("election-begun", "why", reason, "cores", Double.toString(node.size.cores()));
    Leader currentLeader = node.leader;
    node.emit(new NodeEffect.Elect(currentLeader == null ? 0 : currentLeader.epoch()));
  }

  /**
   * Answers a ping of a follower. The group may name any entry instance as the candidate; a planner
   * that is much smaller than a follower, is stopping or is refused by the store asks the largest
   * follower to take over. Followers that can't reach the store offer no capacity.
   */
  static void peerPinged(Node node, NodeEvent.PeerPinged pinged, Now now) {
    boolean yields = false;
    Plan plan = node.plan;
    if (plan != null) {
      node.followers.recordPing(pinged.link(), pinged.cores(), now.steadyMs());
      updateStoreOutage(node, now);
      Optional<Long> successor =
          node.stopping || plan.isStoreFailing(now)
              ? node.followers.findLargest(now.steadyMs())
              : node.followers.findSuccessor(node.size, now.steadyMs());
      yields = successor.filter(link -> link == pinged.link()).isPresent();
    }
    node.emit(
        new NodeEffect.AnswerPing(
            pinged.link(),
            reportsPlanning(node, now),
            yields,
            plan == null ? -1 : plan.confirmedLogEnd(),
            plan == null ? 0 : now.steadyMs() - plan.confirmedMs()));
  }

  /** Tells the planner of this instance whether any of its followers may be elected. */
  static void updateStoreOutage(Node node, Now now) {
    Plan plan = node.plan;
    if (plan != null) {
      plan.setStoreAwayForAll(node.followers.noneFit(now.steadyMs()));
    }
  }

  /**
   * Handles a report of the current planner, and takes over if the planner asks for it. Reports of
   * earlier planners are ignored, as they say nothing about the current one.
   */
  static void peerPonged(Node node, NodeEvent.PeerPonged ponged, Now now) {
    Leader leader = node.leader;
    if (leader == null || !leader.address().equals(ponged.from())) {
      return;
    }
    node.leaderReportsPlanning = ponged.plans();
    node.predecessorContact.confirmationReported(
        ponged.logEnd(), now.steadyMs() - ponged.confirmedAgeMs(), leader.epoch());
    if (ponged.plans()) {
      node.predecessorContact.counted(leader.epoch(), now);
    }
    node.leaderLastHeardMs = now.steadyMs();
    node.leaderReportDeadlineMs = 0;
    if (ponged.yields() && node.plan == null) {
      startElection(node, "the planner asks this instance to take over", now);
    }
  }

  /**
   * Returns whether some entry instance is an active planner, as far as this one knows. A planner
   * that was newly named or linked to counts as active until its time for the first report ends.
   */
  private static boolean isPlannerActive(Node node, Now now) {
    boolean reported =
        node.leaderReportsPlanning && now.steadyMs() - node.leaderLastHeardMs <= REPORT_TIMEOUT_MS;
    return node.plan != null
        || now.steadyMs() < node.leaderReportDeadlineMs
        || (node.leaderReachable && reported);
  }

  /** Starts the time in which a new planner has to report whether it plans. */
  private static void awaitNewPlanner(Node node, Now now) {
    node.leaderReportDeadlineMs = now.steadyMs() + NEW_PLANNER_TIMEOUT_MS;
  }

  /** Starts the time for another link if one broke; a planner that accepts no link gets none. */
  static void linkLost(Node node, Now now) {
    node.leaderReportDeadlineMs = node.leaderReachable ? now.steadyMs() + RELINK_TIMEOUT_MS : 0;
  }

  /** Starts the time that the planner has for its first report on a new link. */
  static void awaitFirstReport(Node node, Now now) {
    node.leaderReportDeadlineMs =
        Math.max(node.leaderReportDeadlineMs, now.steadyMs() + FIRST_REPORT_TIMEOUT_MS);
  }

  static void updateGroupPolling(Node node, Now now) {
    boolean plannerMissing = !isPlannerActive(node, now);
    if (plannerMissing != node.plannerMissing) {
      node.plannerMissing = plannerMissing;
      if (plannerMissing) {
        node.candidacy.plannerLost(now);
      }
      node.emit(new NodeEffect.HurryGroup(plannerMissing));
    }
  }

  /**
   * Returns whether this entry instance reports that it is the planner: the store has confirmed it
   * recently, and a graceful stop has not come to the point where a successor should be active.
   */
  static boolean reportsPlanning(Node node, Now now) {
    Plan plan = node.plan;
    return plan != null
        && now.steadyMs() < node.stopDeadlines.reportsPlanningUntilMs()
        && now.steadyMs() - plan.confirmedMs() <= CONFIRMATION_TIMEOUT_MS;
  }

  /**
   * Handles a lost or failed election. If a planner with a later epoch is known, this entry
   * instance follows it before it starts another election.
   */
  static void notElected(Node node, NodeEvent.NotElected failed, Now now) {
    node.electionInProgress = false;
    node.nextElectionMs = now.steadyMs() + ELECTION_BACKOFF_MS;
    node.candidacy.electionFailed(now);
    node.logEvent("election-failed", "why", failed.reason());
    if (failed.latestLeader() != null) {
      leaderRead(node, failed.latestLeader(), now);
    }
  }

  /**
   * Handles an election that was given up because of unreadable records. Planning without them
   * could lose accepted jobs, so other instances get the chance to plan.
   */
  static void recordsUnreadable(Node node, String reason, Now now) {
    node.electionInProgress = false;
    node.candidacy.recordsUnreadable(now);
    node.logEvent("election-failed", "why", reason);
  }

  static void elected(Node node, NodeEvent.Elected elected, Now now) {
    node.electionInProgress = false;
    Catalog catalog = node.catalog;
    if (catalog == null) {
      node.logEvent("election-dropped", "why", "no configuration is known");
      return;
    }
    Leader currentLeader = node.leader;
    if (currentLeader != null && currentLeader.epoch() > elected.epoch()) {
      node.logEvent(
          "election-dropped", "why", "planner " + currentLeader.member() + " has a later epoch");
      return;
    }
    Plan plan;
    try {
      plan =
          new Plan(
              elected.epoch(),
              elected.firstSequence(),
              catalog,
              elected.records(),
              now,
              node.storeLimits,
              succession(node, elected, now));
    } catch (RuntimeException e) {
      recordsUnreadable(node, "records can't be applied: " + describe(e), now);
      return;
    }
    node.followers.clear(now.steadyMs());
    node.plan = plan;
    node.logEvent(
        "planner-elected",
        "epoch",
        Long.toString(elected.epoch()),
        "records",
        Integer.toString(elected.records().size()),
        "cores",
        Double.toString(node.size.cores()),
        "memory-mb",
        Long.toString(node.size.memoryMb()),
        "link-mbps",
        Double.toString(node.size.linkMbps()));
    node.emit(new NodeEffect.Announce(elected.epoch()));
    node.wavesByNumber.values().forEach(w -> applyToPlan(node, new PlanEvent.WaveOrdered(w), now));
    node.pendingCalls.values().stream()
        .filter(p -> p.awaitedPlanner != null)
        .forEach(PendingCall::markPlannerLost);
    Delivery.sendWaiting(node, now);
  }

  /**
   * Returns what is known of the change from the last planner to this instance. The store has
   * confirmed the new epoch when it fenced the last planner.
   */
  private static Succession succession(Node node, NodeEvent.Elected elected, Now now) {
    PredecessorContact contact = node.predecessorContact;
    boolean known = elected.predecessor() >= 0;
    long fencedMs = known ? elected.fencedMs() : now.steadyMs();
    long confirmedMs =
        contact.lastConfirmedMs(elected.predecessor(), elected.logEnd()).orElse(fencedMs);
    Succession succession =
        Succession.of(
            fencedMs,
            Math.min(confirmedMs, fencedMs),
            contact.prolongedLeasesEndMs(elected.predecessor(), now));
    node.logEvent(
        "predecessor-leases",
        "predecessor",
        Long.toString(elected.predecessor()),
        "confirmed-ago-ms",
        Long.toString(now.steadyMs() - Math.min(confirmedMs, fencedMs)),
        "end-in-ms",
        Long.toString(succession.leasesEndMs() - now.steadyMs()));
    return succession;
  }

  /**
   * Handles the store's answer to a query for the planner. An entry instance that finds a planner
   * with a later epoch follows it, and resigns if it is a planner itself.
   */
  static void leaderRead(Node node, @Nullable Leader leader, Now now) {
    node.plannerQueryAnswered = true;
    Leader currentLeader = node.leader;
    if (leader == null || (currentLeader != null && currentLeader.epoch() >= leader.epoch())) {
      return;
    }
    node.predecessorContact.replaced(currentLeader == null ? -1 : currentLeader.epoch(), now);
    node.leader = leader;
    node.leaderReachable = false;
    node.connectingToLeader = true;
    node.leaderReportsPlanning = false;
    awaitNewPlanner(node, now);
    node.logEvent(
        "planner-named", "planner", leader.member(), "epoch", Long.toString(leader.epoch()));
    node.emit(new NodeEffect.Follow(leader.address()));
    Plan plan = node.plan;
    if (plan != null && plan.epoch() < leader.epoch()) {
      resign(node, "the store names planner " + leader.member());
    }
    node.pendingCalls.values().stream()
        .filter(p -> p.awaitedPlanner != null)
        .forEach(PendingCall::markPlannerLost);
    Delivery.sendWaiting(node, now);
  }

  static void waveRead(Node node, WaveOrder order, Now now) {
    if (node.wavesByNumber.putIfAbsent(order.number(), order) == null) {
      applyToPlan(node, new PlanEvent.WaveOrdered(order), now);
    }
  }

  /** Applies an event of a term to this instance's planner; events of other terms are ignored. */
  static void applyToPlan(Node node, long epoch, PlanEvent event, Now now) {
    Plan plan = node.plan;
    if (plan != null && plan.epoch() == epoch) {
      applyToPlan(node, event, now);
    }
  }

  /**
   * Applies an event to the plan and emits the effects; does nothing if this instance is not the
   * planner.
   */
  static void applyToPlan(Node node, PlanEvent event, Now now) {
    Plan plan = node.plan;
    if (plan == null) {
      return;
    }
    List<PlanEffect> effects;
    try {
      effects = PlanReducer.reduce(plan, event, now);
    } catch (RuntimeException e) {
      // The plan is changed in place and may be inconsistent now; the stored records are not.
      node.logEvent("plan-failed", "event", event.getClass().getSimpleName(), "why", describe(e));
      resign(node, "a decision failed");
      node.candidacy.planFailed(now);
      awaitNewPlanner(node, now);
      return;
    }
    for (PlanEffect effect : effects) {
      switch (effect) {
        case PlanEffect.Answer answer ->
            Delivery.returnAnswer(node, answer.ticket(), answer.answer());
        case PlanEffect.Resign resign -> {
          resign(node, resign.reason());
          awaitNewPlanner(node, now);
          return;
        }
        case PlanEffect.Note note -> node.emit(new NodeEffect.Note(note.event(), note.fields()));
        default -> node.emit(new NodeEffect.OfPlan(plan.epoch(), effect));
      }
    }
  }

  /** Returns an exception with the place where it was thrown. */
  private static String describe(RuntimeException e) {
    StackTraceElement[] trace = e.getStackTrace();
    return trace.length == 0 ? e.toString() : e + " at " + trace[0];
  }

  /** Ends the term of this entry instance; the calls that it has accepted are declined. */
  private static void resign(Node node, String reason) {
    node.logEvent("planner-resigned", "why", reason);
    node.plan = null;
    node.emit(new NodeEffect.EndTerm());
    node.originsByTicket
        .values()
        .forEach(o -> node.emit(new NodeEffect.DeclinePeer(o.link(), o.number(), true)));
    node.originsByTicket.clear();
    node.pendingCalls.values().stream()
        .filter(p -> p.sentToLocalPlanner)
        .forEach(PendingCall::markPlannerLost);
  }
}
