package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.JobAnswer;
import dev.toucanstall.core.model.Address;
import dev.toucanstall.core.model.InstanceSize;
import dev.toucanstall.core.node.Node;
import dev.toucanstall.core.node.NodeEffect;
import dev.toucanstall.core.node.NodeEvent;
import dev.toucanstall.core.node.NodeInternals;
import dev.toucanstall.core.node.NodeReducer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * A process of an entry instance: its reducer, a control thread that takes one event after the
 * other, each for a time, and an interpreter of its effects.
 */
final class NodeInstance {

  private static final long PLANNING_TICK_MS = 20;
  private static final long TICK_MS = 100;
  private static final long CATALOG_WAIT_MS = 1_000;
  private static final long SERVERS_MS = 500;
  private static final long SILENT_STORE_MS = 1_000;
  private static final long SILENT_ORDER_MS = 700;
  private static final long CLOSE_MS = 1;

  /** How long the first answer to who plans takes; others come before it. */
  private static final long WHO_PLANS_MS = 300;

  private static final long MICROS = 1_000;

  final NodeWorld world;
  final String name;
  final Address address;

  /** The share of a core that it has. */
  final double cores;

  final Node node;
  final NodeLink planner;

  /** The links of other entry instances to this one. */
  final Map<Long, NodeLink.Connection> links = new LinkedHashMap<>();

  /** The requests that it has read and not answered. */
  final Map<Long, NodeClients.Attempt> reading = new LinkedHashMap<>();

  boolean gone;
  boolean stopping;
  boolean cut;
  boolean ready;
  long joinedMs = Long.MIN_VALUE / 2;

  /** The longest time that an event has waited, in milliseconds. */
  long longestWaitMs;

  final Map<String, Integer> notes = new HashMap<>();

  private record Freeze(long fromMs, long untilMs) {}

  private final List<Freeze> freezes = new ArrayList<>();

  private record Posted(NodeEvent event, long atMs) {}

  private final ArrayDeque<Posted> queue = new ArrayDeque<>();
  private long frozenUntilMs;
  private long freeAtMicros;
  private boolean serving;
  private boolean tickDue;
  private boolean hurried = true;
  private boolean inGroup = true;
  private long watchedEpoch;
  private long knownEpoch;
  private long knownVersion;
  private long tickets;

  NodeInstance(NodeWorld world, String name, Address address, double cores) {
    this.world = world;
    this.name = name;
    this.address = address;
    this.cores = cores;
    this.node = new Node(name, new InstanceSize(cores, 0, 0));
    this.planner = new NodeLink(world, this);
    world.at(0, this::tick);
    world.at(0, this::join);
    world.at(0, this::readCatalog);
    world.at(WHO_PLANS_MS, this::askWhoPlans);
  }

  @Nullable Plan plan() {
    return NodeInternals.planOf(node);
  }

  boolean frozen() {
    return world.nowMs() < frozenUntilMs;
  }

  int noted(String event) {
    return notes.getOrDefault(event, 0);
  }

  // The control thread.

  void post(NodeEvent event) {
    if (!gone) {
      queue.add(new Posted(event, world.nowMs()));
      wake();
    }
  }

  private void tick() {
    if (!gone) {
      tickDue = true;
      wake();
    }
  }

  private void wake() {
    if (!serving) {
      serving = true;
      long free = Math.max(freeAtMicros / MICROS, frozenUntilMs);
      world.atTime(Math.max(free, world.nowMs()), this::serve);
    }
  }

  private void serve() {
    serving = false;
    if (gone) {
      return;
    }
    if (frozen()) {
      wake();
      return;
    }
    if (tickDue) {
      tickDue = false;
      handle(new NodeEvent.Tick());
      world.at(node.isPlanner() ? PLANNING_TICK_MS : TICK_MS, this::tick);
    } else {
      Posted next = queue.poll();
      if (next == null) {
        return;
      }
      longestWaitMs = Math.max(longestWaitMs, world.nowMs() - next.atMs());
      handle(next.event());
    }
    if (tickDue || !queue.isEmpty()) {
      wake();
    }
  }

  private void handle(NodeEvent event) {
    long before = ServiceTime.looks(plan());
    List<NodeEffect> effects = NodeReducer.reduce(node, event, world.backend.now());
    Plan plan = plan();
    long passes = Math.max(0, ServiceTime.looks(plan) - before);
    freeAtMicros =
        Math.max(freeAtMicros, world.nowMs() * MICROS) + world.serviceTime.of(passes, plan, cores);
    if (freeAtMicros <= world.nowMs() * MICROS) {
      effects.forEach(this::carryOut);
    } else {
      world.atTime(freeAtMicros / MICROS, () -> effects.forEach(this::carryOut));
    }
  }

  private void carryOut(NodeEffect effect) {
    if (gone) {
      return;
    }
    switch (effect) {
      case NodeEffect.Answer answer -> answer(answer.ticket(), answer.answer());
      case NodeEffect.AskPeer ask -> planner.ask(ask.planner(), ask.ticket(), ask.call());
      case NodeEffect.AnswerPeer answer ->
          reply(
              answer.link(),
              new NodeEvent.PeerAnswered(address, answer.number(), answer.answer()),
              true);
      case NodeEffect.AnswerPing answer ->
          reply(
              answer.link(),
              new NodeEvent.PeerPonged(address, answer.plans(), answer.yields()),
              false);
      case NodeEffect.DeclinePeer decline ->
          reply(
              decline.link(),
              new NodeEvent.PeerDeclined(address, decline.number(), decline.maybeStored()),
              true);
      case NodeEffect.Follow follow -> planner.follow(follow.planner());
      case NodeEffect.Elect elect -> world.elect(this, elect.lastEpoch());
      case NodeEffect.Announce announce -> {
        watchedEpoch = announce.epoch();
        readServers(announce.epoch(), true);
        world.announce(this, announce.epoch());
      }
      case NodeEffect.EndTerm end -> watchedEpoch = 0;
      case NodeEffect.OfPlan ofPlan -> carryOutOfPlan(ofPlan.epoch(), ofPlan.effect());
      case NodeEffect.HurryGroup hurry -> hurried = hurry.plannerMissing();
      case NodeEffect.LeaveGroup leave -> leaveGroup();
      case NodeEffect.SetReady set -> ready = set.ready();
      case NodeEffect.EndConnections end -> {
        // Clients here send each request on a connection that stays open until the process is gone.
      }
      case NodeEffect.Exit exit -> {
        world.at(
            CLOSE_MS / 2,
            () -> List.copyOf(reading.keySet()).forEach(t -> answer(t, new JobAnswer.Uncertain())));
        world.at(CLOSE_MS, this::end);
      }
      case NodeEffect.Note note -> {
        notes.merge(note.event(), 1, Integer::sum);
        world.noted(note);
      }
    }
  }

  private void answer(long ticket, JobAnswer answer) {
    NodeClients.Attempt attempt = reading.remove(ticket);
    if (attempt != null) {
      attempt.answered(answer);
    }
  }

  private void reply(long link, NodeEvent event, boolean droppable) {
    NodeLink.Connection connection = links.get(link);
    if (connection == null) {
      world.dropped++;
    } else {
      connection.answer(event, droppable);
    }
  }

  private void carryOutOfPlan(long epoch, PlanEffect effect) {
    if (cut) {
      long after = effect instanceof PlanEffect.Append ? SILENT_STORE_MS : SILENT_ORDER_MS;
      world.at(after, () -> post(new NodeEvent.ForPlan(epoch, unanswered(effect, after))));
    } else {
      world.backend.carryOut(event -> post(new NodeEvent.ForPlan(epoch, event)), effect);
    }
  }

  private PlanEvent unanswered(PlanEffect effect, long afterMs) {
    long sentMs = world.nowMs() - afterMs;
    return switch (effect) {
      case PlanEffect.Append append ->
          new PlanEvent.Appended(append.sequence(), sentMs, StoreResult.MAYBE);
      case PlanEffect.ListMachines list -> new PlanEvent.MachinesUnknown("no answer");
      case PlanEffect.Move move ->
          new PlanEvent.Moved(move.machine(), move.service(), MachineResult.MAYBE);
      case PlanEffect.Maintain order ->
          new PlanEvent.Maintained(order.wave(), order.machine(), MachineResult.MAYBE);
      default -> PlanWorld.answer(effect, new OrderResult.Unanswered(), sentMs);
    };
  }

  // What it reads from the store.

  private void readCatalog() {
    if (gone) {
      return;
    }
    long askedMs = world.nowMs();
    boolean first = knownVersion == 0;
    if (frozen() || cut || !world.backend.storeUp) {
      world.at(SERVERS_MS, this::readCatalog);
      return;
    }
    world.at(
        first ? world.storeMs() : CATALOG_WAIT_MS,
        () -> {
          post(
              new NodeEvent.CatalogRead(
                  askedMs, knownVersion == 0 ? world.backend.catalog() : null));
          knownVersion = 1;
          readLeader();
          readCatalog();
        });
  }

  /** Asks the store for the first time who plans. */
  private void askWhoPlans() {
    if (gone) {
      return;
    }
    if (frozen() || cut || !world.backend.storeUp) {
      world.at(SERVERS_MS, this::askWhoPlans);
    } else if (world.leader == null) {
      post(new NodeEvent.LeaderRead(null));
    } else {
      readLeader();
    }
  }

  /** Takes note of the planner that the store names. */
  void readLeader() {
    if (!gone && !cut && world.leader != null && world.leader.epoch() > knownEpoch) {
      knownEpoch = world.leader.epoch();
      post(new NodeEvent.LeaderRead(world.leader));
    }
  }

  private void readServers(long epoch, boolean whole) {
    if (gone || watchedEpoch != epoch) {
      return;
    }
    if (!cut) {
      PlanEvent read = world.backend.serversRead(whole);
      world.at(world.storeMs(), () -> post(new NodeEvent.ForPlan(epoch, read)));
    }
    boolean again = whole && cut;
    world.at(SERVERS_MS, () -> readServers(epoch, again));
  }

  private void join() {
    if (gone) {
      return;
    }
    if (inGroup && !frozen() && !cut && world.backend.storeUp) {
      boolean holds = world.join(this);
      world.at(world.storeMs(), () -> post(new NodeEvent.Joined(holds)));
    }
    world.at(hurried ? 80 : 300, this::join);
  }

  private void leaveGroup() {
    inGroup = false;
    world.at(world.storeMs(), () -> world.leave(this));
  }

  // Its life.

  /** Takes a request on an open connection; nothing reads it while the process is frozen. */
  void read(NodeClients.Attempt attempt) {
    long ticket = ++tickets;
    reading.put(ticket, attempt);
    post(new NodeEvent.Called(ticket, attempt.call()));
  }

  void freeze(long forMs) {
    frozenUntilMs = Math.max(frozenUntilMs, world.nowMs() + forMs);
    freezes.add(new Freeze(world.nowMs(), world.nowMs() + forMs));
  }

  /** Tells whether the process stood still at any time of a span. */
  boolean wasFrozen(long fromMs, long untilMs) {
    return freezes.stream().anyMatch(f -> f.fromMs() < untilMs && f.untilMs() > fromMs);
  }

  /** SIGTERM, and SIGKILL after the grace time. */
  void stop(long graceMs) {
    stopping = true;
    queue.addFirst(new Posted(new NodeEvent.StopAsked(graceMs), world.nowMs()));
    wake();
    world.at(graceMs, this::end);
  }

  /** The process is gone, and with it all its connections. */
  void end() {
    if (gone) {
      return;
    }
    gone = true;
    List.copyOf(links.values())
        .forEach(link -> world.at(world.hopMs(), () -> link.end("connection reset")));
    NodeLink.Connection mine = planner.connection;
    if (mine != null) {
      mine.open = false;
      mine.planner.links.remove(mine.number);
    }
    List.copyOf(reading.values()).forEach(NodeClients.Attempt::broken);
    reading.clear();
  }
}
