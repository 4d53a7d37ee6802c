package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.JobAnswer;
import dev.toucanstall.core.model.Address;
import dev.toucanstall.core.model.InstanceSize;
import dev.toucanstall.core.node.LeaderSize;
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
final class SimulatedInstance {

  private static final long PLANNER_TICK_MS = 20;
  private static final long TICK_MS = 100;

  /** Duration of a long poll for a new configuration, in milliseconds. */
  private static final long CATALOG_POLL_MS = 1_000;

  /**
   * Time between two reads of the list of backend servers, and before another attempt to read the
   * store, in milliseconds.
   */
  private static final long STORE_READ_INTERVAL_MS = 500;

  private static final long STORE_TIMEOUT_MS = 1_000;
  private static final long CALL_TIMEOUT_MS = 700;
  private static final long EXIT_DELAY_MS = 1;

  /**
   * Time from the start to the first query for the planner, in milliseconds; the first answers to
   * other reads arrive earlier.
   */
  private static final long FIRST_LEADER_QUERY_MS = 300;

  private static final long MICROS_PER_MILLI = 1_000;
  final NodeSimulation sim;
  final String name;
  final Address address;

  /** Processor time of the process in a second, in cores. */
  final double cores;

  final Node node;
  final SimulatedLink plannerLink;
  final Map<Long, SimulatedLink.Connection> incomingConnections = new LinkedHashMap<>();
  final Map<Long, SimulatedClients.Attempt> unansweredRequests = new LinkedHashMap<>();
  boolean terminated;
  boolean stopping;

  /**
   * Whether the network separates the process from store, group, backend servers and other entry
   * instances.
   */
  boolean partitioned;

  /** Whether the store refuses the calls of this process, though it serves others. */
  boolean storeRefused;

  boolean ready;

  /** Processor capacity that pings offer to the planner, in cores. */
  double offeredCores;

  /**
   * Last renewal of the membership in the group, in milliseconds of the monotonic clock; far in the
   * past if there was none.
   */
  long lastJoinedMs = Long.MIN_VALUE / 2;

  long longestWaitMs;
  final Map<String, Integer> logEventCounts = new HashMap<>();

  /**
   * A pause of the process.
   *
   * @param fromMs start of the pause, in milliseconds of the monotonic clock
   * @param untilMs end of the pause, in milliseconds of the monotonic clock
   */
  private record Pause(long fromMs, long untilMs) {}

  private final List<Pause> pauses = new ArrayList<>();

  /**
   * An event that waits for the control thread.
   *
   * @param event the event
   * @param queuedMs time at which the event was queued, in milliseconds of the monotonic clock
   */
  private record QueuedEvent(NodeEvent event, long queuedMs) {}

  /** Events that wait for the control thread; a tick is not queued. */
  private final ArrayDeque<QueuedEvent> queue = new ArrayDeque<>();

  private long pausedUntilMs;

  /**
   * Time at which the control thread has handled the last event, in microseconds of the monotonic
   * clock.
   */
  private long busyUntilMicros;

  private boolean dispatchScheduled;

  /** Whether a tick is due, which goes before all queued events. */
  private boolean tickDue;

  private boolean pollsGroupOften = true;
  private boolean groupMember = true;

  /** Epoch of the term for which the list of backend servers is read, 0 if there is none. */
  private long planningEpoch;

  private long leaderEpoch;

  /** Version of the configuration that was read, 0 if there is none. */
  private long catalogVersion;

  private long lastCallId;

  SimulatedInstance(NodeSimulation sim, String name, Address address, double cores) {
    this.sim = sim;
    this.name = name;
    this.address = address;
    this.cores = cores;
    this.node = new Node(name, new InstanceSize(cores, 0, 0));
    this.plannerLink = new SimulatedLink(sim, this);
    sim.after(0, this::tick);
    sim.after(0, this::join);
    sim.after(0, this::readCatalog);
    sim.after(FIRST_LEADER_QUERY_MS, this::queryLeader);
  }

  /** Returns the state of the planner, null if the process doesn't plan. */
  @Nullable Plan plan() {
    return NodeInternals.planOf(node);
  }

  boolean isPaused() {
    return sim.nowMs() < pausedUntilMs;
  }

  int logEventCount(String event) {
    return logEventCounts.getOrDefault(event, 0);
  }

  // The control thread.

  void post(NodeEvent event) {
    if (!terminated) {
      queue.add(new QueuedEvent(event, sim.nowMs()));
      scheduleDispatch();
    }
  }

  private void tick() {
    if (!terminated) {
      tickDue = true;
      scheduleDispatch();
    }
  }

  private void scheduleDispatch() {
    if (!dispatchScheduled) {
      dispatchScheduled = true;
      long freeMs = Math.max(busyUntilMicros / MICROS_PER_MILLI, pausedUntilMs);
      sim.atTime(Math.max(freeMs, sim.nowMs()), this::dispatch);
    }
  }

  /**
   * Handles a tick or the oldest event, and schedules the control thread again if there are more.
   */
  private void dispatch() {
    dispatchScheduled = false;
    if (terminated) {
      return;
    }
    if (isPaused()) {
      scheduleDispatch();
      return;
    }
    if (tickDue) {
      tickDue = false;
      handle(new NodeEvent.Tick());
      sim.after(node.isPlanner() ? PLANNER_TICK_MS : TICK_MS, this::tick);
    } else {
      QueuedEvent next = queue.poll();
      if (next == null) {
        return;
      }
      longestWaitMs = Math.max(longestWaitMs, sim.nowMs() - next.queuedMs());
      handle(next.event());
    }
    if (tickDue || !queue.isEmpty()) {
      scheduleDispatch();
    }
  }

  /** Handles an event; its effects are carried out when the control thread has finished. */
  private void handle(NodeEvent event) {
    long passesBefore = ProcessingTime.placementPasses(plan());
    List<NodeEffect> effects = NodeReducer.reduce(node, event, sim.platform.now());
    Plan plan = plan();
    long passes = Math.max(0, ProcessingTime.placementPasses(plan) - passesBefore);
    busyUntilMicros =
        Math.max(busyUntilMicros, sim.nowMs() * MICROS_PER_MILLI)
            + sim.processingTime.micros(passes, plan, cores);
    if (busyUntilMicros <= sim.nowMs() * MICROS_PER_MILLI) {
      effects.forEach(this::carryOut);
    } else {
      sim.atTime(busyUntilMicros / MICROS_PER_MILLI, () -> effects.forEach(this::carryOut));
    }
  }

  private void carryOut(NodeEffect effect) {
    if (terminated) {
      return;
    }
    switch (effect) {
      case NodeEffect.Answer answer -> answer(answer.ticket(), answer.answer());
      case NodeEffect.AskPeer request ->
          plannerLink.sendCall(request.planner(), request.ticket(), request.call());
      case NodeEffect.AnswerPeer answer ->
          reply(answer, new NodeEvent.PeerAnswered(address, answer.number(), answer.answer()));
      case NodeEffect.AnswerPing answer ->
          sendToPeer(
              answer.link(),
              new NodeEvent.PeerPonged(
                  address,
                  answer.plans(),
                  answer.yields(),
                  answer.logEnd(),
                  answer.confirmedAgeMs()),
              false);
      case NodeEffect.DeclinePeer decline ->
          reply(
              decline,
              new NodeEvent.PeerDeclined(address, decline.number(), decline.maybeStored()));
      case NodeEffect.Follow follow -> plannerLink.follow(follow.planner());
      case NodeEffect.Elect elect -> sim.elect(this, elect.lastEpoch());
      case NodeEffect.Announce announce -> {
        planningEpoch = announce.epoch();
        readServers(announce.epoch(), true);
        sim.announce(this, announce.epoch());
      }
      case NodeEffect.EndTerm end -> planningEpoch = 0;
      case NodeEffect.OfPlan ofPlan -> carryOutPlanEffect(ofPlan.epoch(), ofPlan.effect());
      case NodeEffect.HurryGroup polling -> pollsGroupOften = polling.plannerMissing();
      case NodeEffect.SetGroupMembership membership -> setGroupMembership(membership.member());
      case NodeEffect.LeaveGroup leave -> setGroupMembership(false);
      case NodeEffect.OfferCores offer -> offeredCores = offer.cores();
      case NodeEffect.SetReady readiness -> ready = readiness.ready();
      case NodeEffect.EndConnections end -> {
        // Simulated clients leave each connection open until the process has terminated.
      }
      case NodeEffect.Exit exit -> {
        sim.after(
            EXIT_DELAY_MS / 2,
            () ->
                List.copyOf(unansweredRequests.keySet())
                    .forEach(callId -> answer(callId, new JobAnswer.Uncertain())));
        sim.after(EXIT_DELAY_MS, this::terminate);
      }
      case NodeEffect.Note logEvent -> {
        logEventCounts.merge(logEvent.event(), 1, Integer::sum);
        sim.logged(logEvent);
      }
    }
  }

  /** Answers a request; does nothing if it was answered before. */
  private void answer(long callId, JobAnswer answer) {
    SimulatedClients.Attempt attempt = unansweredRequests.remove(callId);
    if (attempt != null) {
      attempt.answerSent(answer);
    }
  }

  /** Sends a reply to another entry instance; reports it if an open connection drops it. */
  private void reply(NodeEffect.PeerReply reply, NodeEvent event) {
    if (!sendToPeer(reply.link(), event, true)) {
      post(new NodeEvent.ReplyUnsent(reply));
    }
  }

  /**
   * Sends a message to another entry instance. A message to a connection that has ended is lost.
   *
   * @param link number of the connection
   * @param event the message
   * @param droppable whether the simulation may drop the message
   * @return false if the connection is open and dropped the message
   */
  private boolean sendToPeer(long link, NodeEvent event, boolean droppable) {
    SimulatedLink.Connection connection = incomingConnections.get(link);
    if (connection == null) {
      sim.droppedMessages++;
      return true;
    }
    return connection.sendToOwner(event, droppable);
  }

  /** Carries out an effect of the planner; its result is reported to the term with that epoch. */
  private void carryOutPlanEffect(long epoch, PlanEffect effect) {
    if (storeRefused && effect instanceof PlanEffect.Append append) {
      PlanEvent refusal =
          new PlanEvent.Appended(append.sequence(), sim.nowMs(), StoreResult.NOT_DONE);
      sim.after(sim.storeLatencyMs(), () -> post(new NodeEvent.ForPlan(epoch, refusal)));
    } else if (partitioned) {
      long timeoutMs = effect instanceof PlanEffect.Append ? STORE_TIMEOUT_MS : CALL_TIMEOUT_MS;
      sim.after(
          timeoutMs, () -> post(new NodeEvent.ForPlan(epoch, timeoutEvent(effect, timeoutMs))));
    } else {
      sim.platform.carryOut(event -> post(new NodeEvent.ForPlan(epoch, event)), effect);
    }
  }

  private PlanEvent timeoutEvent(PlanEffect effect, long timeoutMs) {
    long sentMs = sim.nowMs() - timeoutMs;
    return switch (effect) {
      case PlanEffect.Append append ->
          new PlanEvent.Appended(append.sequence(), sentMs, StoreResult.MAYBE);
      case PlanEffect.ListMachines list -> new PlanEvent.MachinesUnknown("no answer");
      case PlanEffect.Move move ->
          new PlanEvent.Moved(move.machine(), move.service(), MachineResult.MAYBE);
      case PlanEffect.Maintain order ->
          new PlanEvent.Maintained(order.wave(), order.machine(), MachineResult.MAYBE);
      default -> PlanSimulation.resultEvent(effect, new OrderResult.Unanswered(), sentMs);
    };
  }

  // Reads from the store and the group.

  boolean reachesStore() {
    return !partitioned && !storeRefused && sim.platform.storeAvailable;
  }

  private void readCatalog() {
    if (terminated) {
      return;
    }
    long requestedMs = sim.nowMs();
    boolean firstRead = catalogVersion == 0;
    if (isPaused() || !reachesStore()) {
      sim.after(STORE_READ_INTERVAL_MS, this::readCatalog);
      return;
    }
    sim.after(
        firstRead ? sim.storeLatencyMs() : CATALOG_POLL_MS,
        () -> {
          post(
              new NodeEvent.CatalogRead(
                  requestedMs, catalogVersion == 0 ? sim.platform.catalog() : null));
          catalogVersion = 1;
          readLeader();
          readCatalog();
        });
  }

  /** Queries the store for the planner, until it first answers. */
  private void queryLeader() {
    if (terminated) {
      return;
    }
    if (isPaused() || !reachesStore()) {
      sim.after(STORE_READ_INTERVAL_MS, this::queryLeader);
    } else if (sim.leader == null) {
      post(new NodeEvent.LeaderRead(null));
    } else {
      readLeader();
    }
  }

  /** Reads the planner that the store names, if it is newer than the last. */
  void readLeader() {
    if (!terminated && reachesStore() && sim.leader != null && sim.leader.epoch() > leaderEpoch) {
      leaderEpoch = sim.leader.epoch();
      post(new NodeEvent.LeaderRead(sim.leader));
      post(new NodeEvent.LeaderSizeRead(new LeaderSize(leaderEpoch, sim.leaderCores)));
    }
  }

  /**
   * Reads the list of backend servers periodically during a term.
   *
   * @param epoch epoch of the term
   * @param complete whether the whole list is read, not only its changes
   */
  private void readServers(long epoch, boolean complete) {
    if (terminated || planningEpoch != epoch) {
      return;
    }
    if (!partitioned && !storeRefused) {
      PlanEvent event = sim.platform.serversRead(complete);
      sim.after(sim.storeLatencyMs(), () -> post(new NodeEvent.ForPlan(epoch, event)));
    }
    boolean stillComplete = complete && (partitioned || storeRefused);
    sim.after(STORE_READ_INTERVAL_MS, () -> readServers(epoch, stillComplete));
  }

  /**
   * Renews the membership in the group periodically and reports whether the group names this
   * process as candidate for planner.
   */
  private void join() {
    if (terminated) {
      return;
    }
    if (groupMember && !isPaused() && reachesStore()) {
      boolean candidate = sim.join(this);
      sim.after(sim.storeLatencyMs(), () -> post(new NodeEvent.Joined(candidate)));
    }
    sim.after(pollsGroupOften ? 80 : 300, this::join);
  }

  private void setGroupMembership(boolean member) {
    groupMember = member;
    if (!member) {
      sim.after(sim.storeLatencyMs(), () -> sim.leave(this));
    }
  }

  // Requests and the end of the process.

  /** Reads a request from an open connection. A paused process reads none. */
  void readRequest(SimulatedClients.Attempt attempt) {
    long callId = ++lastCallId;
    unansweredRequests.put(callId, attempt);
    post(new NodeEvent.Called(callId, attempt.clientCall()));
  }

  void pause(long durationMs) {
    pausedUntilMs = Math.max(pausedUntilMs, sim.nowMs() + durationMs);
    pauses.add(new Pause(sim.nowMs(), sim.nowMs() + durationMs));
  }

  boolean wasPaused(long fromMs, long untilMs) {
    return pauses.stream().anyMatch(pause -> pause.fromMs() < untilMs && pause.untilMs() > fromMs);
  }

  /** Sends SIGTERM, and SIGKILL after a grace period, in milliseconds. */
  void stop(long graceMs) {
    stopping = true;
    queue.addFirst(new QueuedEvent(new NodeEvent.StopAsked(graceMs), sim.nowMs()));
    scheduleDispatch();
    sim.after(graceMs, this::terminate);
  }

  void terminate() {
    if (terminated) {
      return;
    }
    terminated = true;
    List.copyOf(incomingConnections.values())
        .forEach(
            incoming -> {
              incoming.stopDelivering();
              sim.after(sim.networkDelayMs(), () -> incoming.close("connection reset"));
            });
    SimulatedLink.Connection connection = plannerLink.connection;
    if (connection != null) {
      connection.reset();
      connection.peer.incomingConnections.remove(connection.number);
    }
    List.copyOf(unansweredRequests.values()).forEach(SimulatedClients.Attempt::connectionLost);
    unansweredRequests.clear();
  }
}
