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
 * Simulates the process of an entry instance: its reducer, a control thread that handles one event
 * after the other and is busy for the time of each, and an interpreter of the effects.
 */
final class NodeInstance {

  /** Time between two ticks of a planner, in milliseconds. */
  private static final long PLANNING_TICK_MS = 20;

  /** Time between two ticks of an entry instance that doesn't plan, in milliseconds. */
  private static final long TICK_MS = 100;

  /** Duration of a long poll for a new configuration, in milliseconds. */
  private static final long CATALOG_WAIT_MS = 1_000;

  /**
   * Time between two reads of the list of backend servers, and before another attempt to read the
   * store, in milliseconds.
   */
  private static final long SERVERS_MS = 500;

  /** Timeout of an append to the store, in milliseconds. */
  private static final long SILENT_STORE_MS = 1_000;

  /** Timeout of all other calls of the planner, in milliseconds. */
  private static final long SILENT_ORDER_MS = 700;

  /** Time between the decision to exit and the end of the process, in milliseconds. */
  private static final long CLOSE_MS = 1;

  /**
   * Time from the start to the first query for the planner, in milliseconds; the first answers to
   * other reads arrive earlier.
   */
  private static final long WHO_PLANS_MS = 300;

  /** Microseconds in a millisecond. */
  private static final long MICROS = 1_000;

  /** Simulation that the process belongs to. */
  final NodeWorld world;

  /** Name of the entry instance. */
  final String name;

  /** Address that other entry instances connect to. */
  final Address address;

  /** Processor time of the process in a second, in cores. */
  final double cores;

  /** State of the entry instance. */
  final Node node;

  /** Link to the planner. */
  final NodeLink planner;

  /** Open connections from other entry instances by their number. */
  final Map<Long, NodeLink.Connection> links = new LinkedHashMap<>();

  /** Requests that were read and not answered, by the call's id. */
  final Map<Long, NodeClients.Attempt> reading = new LinkedHashMap<>();

  /** Whether the process has terminated. */
  boolean gone;

  /** Whether the process has been told to stop. */
  boolean stopping;

  /**
   * Whether the network separates the process from store, group, backend servers and other entry
   * instances.
   */
  boolean cut;

  /** Whether readiness probes succeed. */
  boolean ready;

  /**
   * Last renewal of the membership in the group, in milliseconds of the steady clock; far in the
   * past if there was none.
   */
  long joinedMs = Long.MIN_VALUE / 2;

  /** Longest time that an event has waited for the control thread, in milliseconds. */
  long longestWaitMs;

  /** Number of log events by their name. */
  final Map<String, Integer> notes = new HashMap<>();

  /**
   * A time in which the process is paused.
   *
   * @param fromMs its start, in milliseconds of the steady clock
   * @param untilMs its end, in milliseconds of the steady clock
   */
  private record Freeze(long fromMs, long untilMs) {}

  /** All pauses. */
  private final List<Freeze> freezes = new ArrayList<>();

  /**
   * An event that waits for the control thread.
   *
   * @param event the event
   * @param atMs time at which it was queued, in milliseconds of the steady clock
   */
  private record Posted(NodeEvent event, long atMs) {}

  /** Events that wait for the control thread; a tick is not queued. */
  private final ArrayDeque<Posted> queue = new ArrayDeque<>();

  /** End of the last pause, in milliseconds of the steady clock. */
  private long frozenUntilMs;

  /**
   * Time at which the control thread has handled the last event, in microseconds of the steady
   * clock.
   */
  private long freeAtMicros;

  /** Whether the control thread is scheduled to handle an event. */
  private boolean serving;

  /** Whether a tick is due, which goes before all queued events. */
  private boolean tickDue;

  /** Whether the group is polled at short intervals because a planner is missing. */
  private boolean hurried = true;

  /** Whether the process renews its membership in the group. */
  private boolean inGroup = true;

  /** Epoch of the term for which the list of backend servers is read, 0 if there is none. */
  private long watchedEpoch;

  /** Epoch of the last planner that was read from the store. */
  private long knownEpoch;

  /** Version of the configuration that was read, 0 if there is none. */
  private long knownVersion;

  /** Id of the last call of a client. */
  private long tickets;

  /** Starts the process. */
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

  /** Returns the state of the planner, null if the process doesn't plan. */
  @Nullable Plan plan() {
    return NodeInternals.planOf(node);
  }

  /** Tells whether the process is paused. */
  boolean frozen() {
    return world.nowMs() < frozenUntilMs;
  }

  /** Returns the number of log events of a name. */
  int noted(String event) {
    return notes.getOrDefault(event, 0);
  }

  // The control thread.

  /** Queues an event for the control thread. */
  void post(NodeEvent event) {
    if (!gone) {
      queue.add(new Posted(event, world.nowMs()));
      wake();
    }
  }

  /** Makes a tick due. */
  private void tick() {
    if (!gone) {
      tickDue = true;
      wake();
    }
  }

  /** Schedules the control thread for the time at which it is free. */
  private void wake() {
    if (!serving) {
      serving = true;
      long free = Math.max(freeAtMicros / MICROS, frozenUntilMs);
      world.atTime(Math.max(free, world.nowMs()), this::serve);
    }
  }

  /**
   * Handles a tick or the oldest event, and schedules the control thread again if there are more.
   */
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

  /** Handles an event; its effects are carried out when the control thread has finished. */
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
        // Simulated clients keep each connection open until the process has terminated.
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

  /** Answers a request; does nothing if it was answered before. */
  private void answer(long ticket, JobAnswer answer) {
    NodeClients.Attempt attempt = reading.remove(ticket);
    if (attempt != null) {
      attempt.answered(answer);
    }
  }

  /**
   * Sends a message to another entry instance, which is dropped if the connection has ended.
   *
   * @param link number of the connection
   * @param event the message
   * @param droppable whether the simulation may drop the message
   */
  private void reply(long link, NodeEvent event, boolean droppable) {
    NodeLink.Connection connection = links.get(link);
    if (connection == null) {
      world.dropped++;
    } else {
      connection.answer(event, droppable);
    }
  }

  /** Carries out an effect of the planner; its result is reported to the term with that epoch. */
  private void carryOutOfPlan(long epoch, PlanEffect effect) {
    if (cut) {
      long after = effect instanceof PlanEffect.Append ? SILENT_STORE_MS : SILENT_ORDER_MS;
      world.at(after, () -> post(new NodeEvent.ForPlan(epoch, unanswered(effect, after))));
    } else {
      world.backend.carryOut(event -> post(new NodeEvent.ForPlan(epoch, event)), effect);
    }
  }

  /** Returns the result of a call that times out after a time, in milliseconds. */
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

  // Reads from the store and the group.

  /** Reads the configuration from the store periodically. */
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

  /** Queries the store for the planner, until it first answers. */
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

  /** Reads the planner that the store names, if it is newer than the last. */
  void readLeader() {
    if (!gone && !cut && world.leader != null && world.leader.epoch() > knownEpoch) {
      knownEpoch = world.leader.epoch();
      post(new NodeEvent.LeaderRead(world.leader));
    }
  }

  /**
   * Reads the list of backend servers periodically during a term.
   *
   * @param epoch epoch of the term
   * @param whole whether the whole list is read, not only its changes
   */
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

  /**
   * Renews the membership in the group periodically and reports whether the group names this
   * process as candidate for planner.
   */
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

  /** Ends the membership in the group. */
  private void leaveGroup() {
    inGroup = false;
    world.at(world.storeMs(), () -> world.leave(this));
  }

  // Requests and the end of the process.

  /** Reads a request from an open connection. A paused process reads none. */
  void read(NodeClients.Attempt attempt) {
    long ticket = ++tickets;
    reading.put(ticket, attempt);
    post(new NodeEvent.Called(ticket, attempt.call()));
  }

  /** Pauses the process for a time, in milliseconds. */
  void freeze(long forMs) {
    frozenUntilMs = Math.max(frozenUntilMs, world.nowMs() + forMs);
    freezes.add(new Freeze(world.nowMs(), world.nowMs() + forMs));
  }

  /** Tells whether the process was paused at any time between two times. */
  boolean wasFrozen(long fromMs, long untilMs) {
    return freezes.stream().anyMatch(f -> f.fromMs() < untilMs && f.untilMs() > fromMs);
  }

  /** Sends SIGTERM, and SIGKILL after a grace period, in milliseconds. */
  void stop(long graceMs) {
    stopping = true;
    queue.addFirst(new Posted(new NodeEvent.StopAsked(graceMs), world.nowMs()));
    wake();
    world.at(graceMs, this::end);
  }

  /** Terminates the process, which ends all its connections. */
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
