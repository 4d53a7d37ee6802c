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

/**
 * Decides when this entry instance becomes the planner and when it resigns.
 *
 * <p>The group of entry instances names a candidate, which starts an election while no planner is
 * active. A planner can also ask one of its followers to take over. An election is decided by the
 * store: each planner gets a higher epoch, which fences the earlier ones.
 */
final class Terms {

  /** Backoff after a lost election, in milliseconds. */
  private static final long ELECT_PAUSE_MS = 150;

  /**
   * Time since the store last confirmed the planner's epoch after which the planner reports that it
   * is not active, in milliseconds. Confirmations are requested every 0.7 s; without them the
   * planner can store nothing.
   */
  private static final long UNFIT_MS = 1_300;

  /**
   * Time that a newly named planner has to report whether it plans, in milliseconds. If no link to
   * it can be established, the time ends at once.
   */
  private static final long UNHEARD_MS = 1_000;

  /** Time that the planner has for its first report on a new link, in milliseconds. */
  private static final long FIRST_WORD_MS = 400;

  /** Time for establishing another link after one broke, in milliseconds. */
  private static final long RELINK_MS = 400;

  /** Time since its last report after which a planner may be replaced, in milliseconds. */
  private static final long TOLD_MS = 2_000;

  private Terms() {}

  /** Handles the group's answer: a candidate starts an election if no planner is active. */
  static void joined(Node node, boolean holder, Now now) {
    if (holder && !planned(node, now)) {
      elect(node, "no planner is active", now);
    }
  }

  /** Starts an election unless this entry instance cannot become the planner at present. */
  private static void elect(Node node, String why, Now now) {
    if (node.electing
        || !node.leaderAsked
        || node.stopping
        || node.catalog == null
        || now.steadyMs() < node.electAfterMs) {
      return;
    }
    node.electing = true;
    node.note("election-begun", "why", why, "cores", Double.toString(node.size.cores()));
    Leader known = node.leader;
    node.emit(new NodeEffect.Elect(known == null ? 0 : known.epoch()));
  }

  /**
   * Answers a ping of a follower. The group may name any entry instance as the candidate; a planner
   * that is much smaller than a follower, or is stopping, asks the largest follower to take over.
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

  /**
   * Handles a report of the current planner, and takes over if the planner asks for it. Reports of
   * earlier planners are ignored, as they say nothing about the current one.
   */
  static void ponged(Node node, NodeEvent.PeerPonged ponged, Now now) {
    Leader leader = node.leader;
    if (leader == null || !leader.address().equals(ponged.from())) {
      return;
    }
    node.leaderPlans = ponged.plans();
    node.leaderHeardMs = now.steadyMs();
    node.leaderUnheardUntilMs = 0;
    if (ponged.yields() && node.plan == null) {
      elect(node, "the planner asks this instance to take over", now);
    }
  }

  /**
   * Returns whether some entry instance is an active planner, as far as this one knows. A planner
   * that was newly named or linked to counts as active until its time for the first report ends.
   */
  private static boolean planned(Node node, Now now) {
    boolean told = node.leaderPlans && now.steadyMs() - node.leaderHeardMs <= TOLD_MS;
    return node.plan != null
        || now.steadyMs() < node.leaderUnheardUntilMs
        || (node.leaderReachable && told);
  }

  /** Starts the time in which a new planner has to report whether it plans. */
  private static void awaitLeader(Node node, Now now) {
    node.leaderUnheardUntilMs = now.steadyMs() + UNHEARD_MS;
  }

  /** Starts the time for another link if one broke; a planner that accepts no link gets none. */
  static void linkLost(Node node, Now now) {
    node.leaderUnheardUntilMs = node.leaderReachable ? now.steadyMs() + RELINK_MS : 0;
  }

  /** Starts the time that the planner has for its first report on a new link. */
  static void awaitFirstWord(Node node, Now now) {
    node.leaderUnheardUntilMs = Math.max(node.leaderUnheardUntilMs, now.steadyMs() + FIRST_WORD_MS);
  }

  /** Adjusts the polling of the group when a planner appears or becomes inactive. */
  static void updateHurry(Node node, Now now) {
    boolean hurried = !planned(node, now);
    if (hurried != node.hurried) {
      node.hurried = hurried;
      node.emit(new NodeEffect.HurryGroup(hurried));
    }
  }

  /**
   * Returns whether this entry instance reports that it is the planner: the store has confirmed it
   * recently, and a graceful stop has not come to the point where a successor should be active.
   */
  static boolean plansWell(Node node, Now now) {
    Plan plan = node.plan;
    return plan != null
        && now.steadyMs() < node.stopTimes.plansUntilMs()
        && now.steadyMs() - plan.confirmedMs() <= UNFIT_MS;
  }

  /**
   * Handles a lost election. If the winner of a later epoch is known, this entry instance follows
   * it before it starts another election.
   */
  static void notElected(Node node, NodeEvent.NotElected failed, Now now) {
    node.electing = false;
    node.electAfterMs = now.steadyMs() + ELECT_PAUSE_MS;
    node.note("election-failed", "why", failed.reason());
    if (failed.latestLeader() != null) {
      leaderRead(node, failed.latestLeader(), now);
    }
  }

  /** Handles a won election: this entry instance becomes the planner. */
  static void elected(Node node, NodeEvent.Elected elected, Now now) {
    node.electing = false;
    Catalog catalog = node.catalog;
    if (catalog == null) {
      node.note("election-dropped", "why", "no configuration is known");
      return;
    }
    Leader known = node.leader;
    if (known != null && known.epoch() > elected.epoch()) {
      node.note("election-dropped", "why", "planner " + known.member() + " has a later epoch");
      return;
    }
    node.followers.clear();
    node.plan = new Plan(elected.epoch(), elected.firstSequence(), catalog, elected.records(), now);
    node.note(
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

  /**
   * Handles the store's answer to a query for the planner. An entry instance that finds a planner
   * with a later epoch follows it, and resigns if it is a planner itself.
   */
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
    node.note("planner-named", "planner", leader.member(), "epoch", Long.toString(leader.epoch()));
    node.emit(new NodeEffect.Follow(leader.address()));
    Plan plan = node.plan;
    if (plan != null && plan.epoch() < leader.epoch()) {
      resign(node, "the store names planner " + leader.member());
    }
    node.pending.values().stream().filter(p -> p.asked != null).forEach(Pending::lose);
    Delivery.sendWaiting(node, now);
  }

  /** Handles an order of a maintenance wave; an order that is known already is ignored. */
  static void waveRead(Node node, WaveOrder order, Now now) {
    if (node.waves.putIfAbsent(order.number(), order) == null) {
      tell(node, new PlanEvent.WaveOrdered(order), now);
    }
  }

  /** Applies an event of a term to this instance's planner; events of other terms are ignored. */
  static void tell(Node node, long epoch, PlanEvent event, Now now) {
    Plan plan = node.plan;
    if (plan != null && plan.epoch() == epoch) {
      tell(node, event, now);
    }
  }

  /**
   * Applies an event to this entry instance's planner, if it is one, and emits the planner's
   * effects.
   */
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

  /** Ends the term of this entry instance; the calls that it has accepted are declined. */
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
