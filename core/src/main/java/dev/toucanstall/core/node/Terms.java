package dev.toucanstall.core.node;

import dev.toucanstall.core.job.Catalog;
import dev.toucanstall.core.job.WaveOrder;
import dev.toucanstall.core.plan.Now;
import dev.toucanstall.core.plan.Plan;
import dev.toucanstall.core.plan.PlanEffect;
import dev.toucanstall.core.plan.PlanEvent;
import dev.toucanstall.core.plan.PlanReducer;
import java.util.List;

/** Decides when this entry instance plans. */
final class Terms {

  /** Pause after a failed try to become the planner, in milliseconds. */
  private static final long ELECT_PAUSE_MS = 150;

  /**
   * A planner that the store has not confirmed for this long says so, in milliseconds: it confirms
   * itself each 0.7 s, and nothing can be stored meanwhile.
   */
  private static final long UNFIT_MS = 1_300;

  /** A planner that has not said for this long that it plans may be replaced, in milliseconds. */
  private static final long TOLD_MS = 2_000;

  private Terms() {}

  static void joined(Node node, boolean holder, Now now) {
    if (!holder
        || planned(node, now)
        || node.electing
        || node.stopping
        || node.catalog == null
        || now.steadyMs() < node.electAfterMs) {
      return;
    }
    node.electing = true;
    node.note("election-begun");
    Leader known = node.leader;
    node.emit(new NodeEffect.Elect(known == null ? 0 : known.epoch()));
  }

  static void leaderTold(Node node, boolean plans, Now now) {
    node.leaderPlans = plans;
    node.leaderToldMs = now.steadyMs();
  }

  /** Tells whether some entry instance plans, as far as this one knows. */
  private static boolean planned(Node node, Now now) {
    boolean told = node.leaderPlans && now.steadyMs() - node.leaderToldMs <= TOLD_MS;
    return node.plan != null || (node.leaderReachable && told);
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
    return plan != null && !node.stopping && now.steadyMs() - plan.confirmedMs() <= UNFIT_MS;
  }

  static void notElected(Node node, String why, Now now) {
    node.electing = false;
    node.electAfterMs = now.steadyMs() + ELECT_PAUSE_MS;
    node.note("election-failed", "why", why);
  }

  static void elected(Node node, NodeEvent.Elected elected, Now now) {
    node.electing = false;
    Catalog catalog = node.catalog;
    if (catalog == null) {
      node.note("election-dropped", "why", "no configuration is known");
      return;
    }
    node.plan = new Plan(elected.epoch(), elected.firstSequence(), catalog, elected.records(), now);
    node.note(
        "planner-elected",
        "epoch",
        Long.toString(elected.epoch()),
        "records",
        Integer.toString(elected.records().size()));
    node.emit(new NodeEffect.Announce(elected.epoch()));
    node.waves.values().forEach(w -> tell(node, new PlanEvent.WaveOrdered(w), now));
    node.pending.values().stream().filter(p -> p.asked != null).forEach(Pending::lose);
    Delivery.sendWaiting(node, now);
  }

  static void leaderRead(Node node, Leader leader, Now now) {
    Leader known = node.leader;
    if (known != null && known.epoch() >= leader.epoch()) {
      return;
    }
    node.leader = leader;
    node.leaderReachable = false;
    node.linking = true;
    node.leaderPlans = false;
    node.note("planner-named", "planner", leader.member(), "epoch", Long.toString(leader.epoch()));
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
          resign(node, resign.why());
          return;
        }
        case PlanEffect.Note note -> node.emit(new NodeEffect.Note(note.event(), note.fields()));
        default -> node.emit(new NodeEffect.OfPlan(plan.epoch(), effect));
      }
    }
  }

  private static void resign(Node node, String why) {
    node.note("planner-resigned", "why", why);
    node.plan = null;
    node.emit(new NodeEffect.EndTerm());
    node.origins
        .values()
        .forEach(o -> node.emit(new NodeEffect.DeclinePeer(o.link(), o.number(), true)));
    node.origins.clear();
    node.pending.values().stream().filter(p -> p.planned).forEach(Pending::lose);
  }
}
