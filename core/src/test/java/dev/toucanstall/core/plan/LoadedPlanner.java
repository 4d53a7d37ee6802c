package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.FinishedRun;
import dev.toucanstall.core.job.JobCall;
import dev.toucanstall.core.job.JobSpec;
import dev.toucanstall.core.job.Resources;
import dev.toucanstall.core.job.StepSpec;
import dev.toucanstall.core.job.TaskKey;
import dev.toucanstall.core.model.StoreLimits;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/**
 * Simulates a planner that gets little processor time, over the store and the backend servers of
 * {@link PlanSimulation}: each event takes time on the control thread, and each order takes time on
 * the one thread of the client that sends it. An order waits for one of the few connections to its
 * backend server behind all orders that were sent before, and is given up after its timeout.
 */
final class LoadedPlanner implements SimulatedServer.Observer {

  private static final long TICK_MS = 20;
  private static final long MICROS_PER_MILLI = 1_000;
  private static final long TIMEOUT_MS = 700;
  private static final int CONNECTIONS = 4;

  final PlanSimulation sim = new PlanSimulation(1);

  /** Runs that ended because their lease expired. */
  int lapsedRuns;

  /** Orders that were given up without an answer. */
  int unansweredOrders;

  private final Plan plan;

  /** Time of the control thread for each event, in microseconds. */
  private final long eventMicros;

  /** Time of the client's thread for each order, in microseconds. */
  private final long orderMicros;

  private final ArrayDeque<PlanEvent> events = new ArrayDeque<>();
  private boolean dispatchScheduled;
  private long controlBusyUntilMicros;
  private long clientBusyUntilMicros;
  private final Map<String, Destination> destinations = new HashMap<>();
  private long lastCall;

  /** Orders of one backend server. */
  private static final class Destination {
    final ArrayDeque<Order> waiting = new ArrayDeque<>();
    int connectionsInUse;
  }

  /** An order that was sent, until it has a result. */
  private static final class Order {
    final PlanEffect effect;
    final long sentMs;
    boolean ended;

    Order(PlanEffect effect, long sentMs) {
      this.effect = effect;
      this.sentMs = sentMs;
    }
  }

  /**
   * Creates a planner that knows its backend servers.
   *
   * @param serverCount number of backend servers
   * @param cpu capacity of each, in thousandths of a core
   * @param eventMicros time of the control thread for each event, in microseconds
   * @param orderMicros time of the client's thread for each order, in microseconds
   */
  LoadedPlanner(int serverCount, long cpu, long eventMicros, long orderMicros) {
    this.eventMicros = eventMicros;
    this.orderMicros = orderMicros;
    sim.renewalsWait = true;
    Resources capacity = new Resources(cpu, 10_000_000, 0);
    IntStream.range(0, serverCount)
        .mapToObj(i -> "w" + i)
        .forEach(
            id ->
                sim.servers.put(
                    id,
                    new SimulatedServer(
                        id, "m-" + id, PlanSimulation.SERVICE, capacity, nowMs(), this)));
    plan =
        new Plan(
            sim.fence(1),
            1,
            sim.catalog(),
            List.of(),
            sim.now(),
            StoreLimits.DEFAULT,
            Succession.of(nowMs(), nowMs(), Long.MIN_VALUE));
    post(sim.serversRead(true));
    sim.after(0, this::tick);
  }

  private long nowMs() {
    return sim.now().steadyMs();
  }

  private void tick() {
    events.addFirst(new PlanEvent.Tick());
    scheduleDispatch();
    sim.after(TICK_MS, this::tick);
  }

  /** Submits a job. */
  void submit(String job, StepSpec... steps) {
    JobSpec spec = new JobSpec("text", List.of(steps), 1, 0, 0);
    JobCall call = new JobCall.Submit(job, PlanSimulation.QUEUE, PlanSimulation.ACCOUNT, spec);
    post(new PlanEvent.Called(++lastCall, call));
  }

  /** Cancels a job. */
  void cancel(String job) {
    post(new PlanEvent.Called(++lastCall, new JobCall.Cancel(job, PlanSimulation.QUEUE)));
  }

  private void post(PlanEvent event) {
    events.add(event);
    scheduleDispatch();
  }

  private void scheduleDispatch() {
    if (!dispatchScheduled) {
      dispatchScheduled = true;
      long freeMs = controlBusyUntilMicros / MICROS_PER_MILLI;
      sim.after(Math.max(0, freeMs - nowMs()), this::dispatch);
    }
  }

  /** Handles the oldest events, as many as the control thread can in the present millisecond. */
  private void dispatch() {
    dispatchScheduled = false;
    long nowMicros = nowMs() * MICROS_PER_MILLI;
    controlBusyUntilMicros = Math.max(controlBusyUntilMicros, nowMicros);
    while (!events.isEmpty() && controlBusyUntilMicros < nowMicros + MICROS_PER_MILLI) {
      controlBusyUntilMicros += eventMicros;
      PlanReducer.reduce(plan, events.remove(), sim.now()).forEach(this::carryOut);
    }
    if (!events.isEmpty()) {
      scheduleDispatch();
    }
  }

  private void carryOut(PlanEffect effect) {
    switch (effect) {
      case PlanEffect.Start start -> send(start.server().id(), start, TIMEOUT_MS);
      case PlanEffect.Stop stop -> send(stop.server().id(), stop, TIMEOUT_MS);
      case PlanEffect.Hold renewal ->
          send(renewal.server().id(), renewal, TIMEOUT_MS + renewal.waitMs());
      default -> sim.carryOut(this::post, effect);
    }
  }

  private void send(String server, PlanEffect effect, long timeoutMs) {
    Destination destination = destinations.computeIfAbsent(server, s -> new Destination());
    Order order = new Order(effect, nowMs());
    destination.waiting.add(order);
    sim.after(timeoutMs, () -> giveUp(destination, order));
    useConnections(destination);
  }

  private void giveUp(Destination destination, Order order) {
    if (!order.ended) {
      order.ended = true;
      unansweredOrders++;
      if (!destination.waiting.remove(order)) {
        destination.connectionsInUse--;
      }
      post(PlanSimulation.resultEvent(order.effect, new OrderResult.Unanswered(), order.sentMs));
      useConnections(destination);
    }
  }

  private void useConnections(Destination destination) {
    while (destination.connectionsInUse < CONNECTIONS && !destination.waiting.isEmpty()) {
      Order order = destination.waiting.remove();
      destination.connectionsInUse++;
      clientBusyUntilMicros =
          Math.max(clientBusyUntilMicros, nowMs() * MICROS_PER_MILLI) + orderMicros;
      sim.after(
          clientBusyUntilMicros / MICROS_PER_MILLI - nowMs(), () -> deliver(destination, order));
    }
  }

  /** Delivers an order; one that was given up meanwhile may still be carried out. */
  private void deliver(Destination destination, Order order) {
    sim.carryOut(
        result -> {
          if (!order.ended) {
            order.ended = true;
            destination.connectionsInUse--;
            post(result);
            useConnections(destination);
          }
        },
        order.effect);
  }

  /** Returns the ids of the jobs that have ended. */
  List<String> completedJobs() {
    List<String> completed = new ArrayList<>();
    plan.jobs.forEach(
        (id, job) -> {
          if (job.phase.ended()) {
            completed.add(id);
          }
        });
    return completed;
  }

  @Override
  public void runStarted(SimulatedServer server, TaskKey task, long run, long timeMs) {
    sim.runStarted(server, task, run, timeMs);
  }

  @Override
  public void runFinished(
      SimulatedServer server, TaskKey task, long run, FinishedRun.Outcome outcome) {
    if (outcome == FinishedRun.Outcome.LAPSED) {
      lapsedRuns++;
    }
    sim.runFinished(server, task, run, outcome);
  }

  @Override
  public void completionAcknowledged(FinishedRun run, long completedMs, boolean leaseLapsed) {
    sim.completionAcknowledged(run, completedMs, leaseLapsed);
  }
}
