package dev.toucanstall.core.node;

import dev.toucanstall.core.job.Catalog;
import dev.toucanstall.core.job.WaveOrder;
import dev.toucanstall.core.plan.Now;
import dev.toucanstall.core.plan.Plan;
import dev.toucanstall.core.plan.PlanEffect;
import dev.toucanstall.core.plan.PlanEvent;
import dev.toucanstall.core.plan.PlanReducer;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Decides when this entry instance plans. */
final class Terms {

  /** Pause after a failed try to become the planner, in milliseconds. */
  private static final long ELECT_PAUSE_MS = 150;

  /**
   * A planner that the store has not confirmed for this long says so, in milliseconds: it confirms
   * itself each 0.7 s, and nothing can be stored meanwhile.
   */
  private static final long UNFIT_MS = 1_300;

  /**
   * How long a planner that was just named or linked to may take to say whether it plans, in
   * milliseconds; a link that can't be made ends the wait.
   */
  private static final long UNHEARD_MS = 1_000;

  /** How long the planner's first word on a new link may take, in milliseconds. */
  private static final long FIRST_WORD_MS = 400;

  /** How long another link may take after one broke, in milliseconds. */
  private static final long RELINK_MS = 400;

  /** A planner that has not said for this long that it plans may be replaced, in milliseconds. */
  private static final long TOLD_MS = 2_000;

  private Terms() {}

  static void joined(Node node, boolean holder, Now now) {
    if (holder && !planned(node, now)) {
      elect(node, "no instance plans", now);
    }
  }

  private static void elect(Node node, String why, Now now) {
    if (node.electing
        || !node.leaderAsked
        || node.stopping
        || node.catalog == null
        || now.steadyMs() < node.electAfterMs) {
      return;
    }
    node.electing = true;
    node.logEvent("election-begun", "why", why, "cores", Double.toString(node.size.cores()));
    Leader known = node.leader;
    node.emit(new NodeEffect.Elect(known == null ? 0 : known.epoch()));
  }

  /**
   * Answers a follower. The group of entry instances names any of them as planner; one that is too
   * small for it, or that stops, asks the largest to plan instead.
   */
  static void pinged(Node node, NodeEvent.PeerPinged pinged, Now now) {
    boolean yields = false;
    if (node.plan != null) {
      node.followers.pinged(pinged.link(), pinged.cores(), now.steadyMs());
      Optional<Long> successor =
          node.stopping
              ? node.followers.largest(now.steadyMs())
              : node.followers.better(node.size, now.steadyMs());
      yields = successor.filter(link -> link == pinged.link()).isPresent();
    }
    node.emit(new NodeEffect.AnswerPing(pinged.link(), plansWell(node, now), yields));
  }

  /** Takes the word of the planner that was named last; earlier ones tell nothing of it. */
  static void ponged(Node node, NodeEvent.PeerPonged ponged, Now now) {
    Leader leader = node.leader;
    if (leader == null || !leader.address().equals(ponged.from())) {
      return;
    }
    node.leaderPlans = ponged.plans();
    node.leaderHeardMs = now.steadyMs();
    node.leaderUnheardUntilMs = 0;
    if (ponged.yields() && node.plan == null) {
      elect(node, "a smaller instance plans", now);
    }
  }

  /**
   * Tells whether some entry instance plans, as far as this one knows. One that was just named or
   * linked to gets time to say so.
   */
  private static boolean planned(Node node, Now now) {
    boolean told = node.leaderPlans && now.steadyMs() - node.leaderHeardMs <= TOLD_MS;
    return node.plan != null
        || now.steadyMs() < node.leaderUnheardUntilMs
        || (node.leaderReachable && told);
  }

  /** Gives a planner that is new time to say whether it plans. */
  private static void awaitLeader(Node node, Now now) {
    node.leaderUnheardUntilMs = now.steadyMs() + UNHEARD_MS;
  }

  /** Gives a planner whose link broke time for another one; one that takes no link gets none. */
  static void linkLost(Node node, Now now) {
    node.leaderUnheardUntilMs = node.leaderReachable ? now.steadyMs() + RELINK_MS : 0;
  }

  /** Gives the planner time for its first word on a new link. */
  static void awaitFirstWord(Node node, Now now) {
    node.leaderUnheardUntilMs = Math.max(node.leaderUnheardUntilMs, now.steadyMs() + FIRST_WORD_MS);
  }

  static void updateHurry(Node node, Now now) {
    boolean hurried = !planned(node, now);
    if (hurried != node.hurried) {
      node.hurried = hurried;
      node.emit(new NodeEffect.HurryGroup(hurried));
    }
  }

  static boolean plansWell(Node node, Now now) {
    Plan plan = node.plan;
    return plan != null
        && now.steadyMs() < node.stopTimes.plansUntilMs()
        && now.steadyMs() - plan.confirmedMs() <= UNFIT_MS;
  }

  /** Follows the instance that has a later epoch, if one is known, before it tries again. */
  static void notElected(Node node, NodeEvent.NotElected failed, Now now) {
    node.electing = false;
    node.electAfterMs = now.steadyMs() + ELECT_PAUSE_MS;
    node.logEvent("election-failed", "why", failed.reason());
    if (failed.latestLeader() != null) {
      leaderRead(node, failed.latestLeader(), now);
    }
  }

  static void elected(Node node, NodeEvent.Elected elected, Now now) {
    node.electing = false;
    Catalog catalog = node.catalog;
    if (catalog == null) {
      node.logEvent("election-dropped", "why", "no configuration is known");
      return;
    }
    Leader known = node.leader;
    if (known != null && known.epoch() > elected.epoch()) {
      node.logEvent("election-dropped", "why", "planner " + known.member() + " has a higher epoch");
      return;
    }
    node.followers.clear();
    node.plan = new Plan(elected.epoch(), elected.firstSequence(), catalog, elected.records(), now);
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
    node.waves.values().forEach(w -> tell(node, new PlanEvent.WaveOrdered(w), now));
    node.pending.values().stream().filter(p -> p.asked != null).forEach(Pending::lose);
    Delivery.sendWaiting(node, now);
  }

  static void leaderRead(Node node, @Nullable Leader leader, Now now) {
    node.leaderAsked = true;
    Leader known = node.leader;
    if (leader == null || (known != null && known.epoch() >= leader.epoch())) {
      return;
    }
    node.leader = leader;
    node.leaderReachable = false;
    node.linking = true;
    node.leaderPlans = false;
    awaitLeader(node, now);
    node.logEvent(
        "planner-named", "planner", leader.member(), "epoch", Long.toString(leader.epoch()));
    node.emit(new NodeEffect.Follow(leader.address()));
    Plan plan = node.plan;
    if (plan != null && plan.epoch() < leader.epoch()) {
      resign(node, "the store names planner " + leader.member());
    }
    node.pending.values().stream().filter(p -> p.asked != null).forEach(Pending::lose);
    Delivery.sendWaiting(node, now);
  }

  static void waveRead(Node node, WaveOrder order, Now now) {
    if (node.waves.putIfAbsent(order.number(), order) == null) {
      tell(node, new PlanEvent.WaveOrdered(order), now);
    }
  }

  /** Tells the planner something that belongs to a term. */
  static void tell(Node node, long epoch, PlanEvent event, Now now) {
    Plan plan = node.plan;
    if (plan != null && plan.epoch() == epoch) {
      tell(node, event, now);
    }
  }

  /** Tells the planner something, if there is one here. */
  static void tell(Node node, PlanEvent event, Now now) {
    Plan plan = node.plan;
    if (plan == null) {
      return;
    }
    List<PlanEffect> effects = PlanReducer.reduce(plan, event, now);
    for (PlanEffect effect : effects) {
      switch (effect) {
        case PlanEffect.Answer answer -> Delivery.answered(node, answer.ticket(), answer.answer());
        case PlanEffect.Resign resign -> {
          resign(node, resign.reason());
          awaitLeader(node, now);
          return;
        }
        case PlanEffect.Note note -> node.emit(new NodeEffect.Note(note.event(), note.fields()));
        default -> node.emit(new NodeEffect.OfPlan(plan.epoch(), effect));
      }
    }
  }

  private static void resign(Node node, String why) {
    node.logEvent("planner-resigned", "why", why);
    node.plan = null;
    node.emit(new NodeEffect.EndTerm());
    node.origins
        .values()
        .forEach(o -> node.emit(new NodeEffect.DeclinePeer(o.link(), o.number(), true)));
    node.origins.clear();
    node.pending.values().stream().filter(p -> p.planned).forEach(Pending::lose);
  }
}
