package dev.toucanstall.testbed.bench;

import dev.toucanstall.core.job.FinishedRun;
import dev.toucanstall.core.job.MachineEntry;
import dev.toucanstall.core.job.ServerEntry;
import dev.toucanstall.core.job.StepSpec;
import dev.toucanstall.core.job.TaskKey;
import dev.toucanstall.core.plan.MachineResult;
import dev.toucanstall.core.plan.OrderResult;
import dev.toucanstall.core.plan.PlanEffect;
import dev.toucanstall.core.plan.PlanEvent;
import dev.toucanstall.core.plan.StoreResult;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Stream;

/**
 * Simulates the store, the machines and the backend servers of a planner in simulated time, without
 * failures or delays beyond fixed latencies. Not thread-safe.
 */
final class PlannerFleet {

  /** Time until the planner receives the result of an append, in milliseconds. */
  private static final long APPEND_LATENCY_MS = 5;

  private static final long ORDER_LATENCY_MS = 2;
  private static final long MOVE_DURATION_MS = 1_500;

  /** Time between two listings of all backend servers, in milliseconds. */
  private static final long LIST_INTERVAL_MS = 1_500;

  /** Bounds of a task's duration as a factor of its estimate. */
  private static final double MIN_LENGTH_FACTOR = 0.7;

  private static final double MAX_LENGTH_FACTOR = 1.6;

  private final SimulatedClock clock;
  private final SplittableRandom random;
  private final Function<TaskKey, StepSpec> steps;
  private final Consumer<PlanEvent> planner;
  private final Map<String, PlannerServer> servers = new LinkedHashMap<>();
  private final Map<String, MachineEntry> poweredOff = new LinkedHashMap<>();
  private int nextNumber;

  /** Number of starts that were ordered. */
  long startCount;

  PlannerFleet(
      SimulatedClock clock,
      long seed,
      Function<TaskKey, StepSpec> steps,
      Consumer<PlanEvent> planner) {
    this.clock = clock;
    this.random = new SplittableRandom(seed);
    this.steps = steps;
    this.planner = planner;
  }

  /** Adds running machines to a service, or switched-off machines to the spare pool. */
  void add(String service, int machineCount) {
    for (int i = 0; i < machineCount; i++) {
      String machine = "m" + nextNumber++;
      if (service.equals(PlannerLoad.SPARE)) {
        poweredOff.put(machine, new MachineEntry(machine, service, true, ""));
      } else {
        addServer(machine, service);
      }
    }
  }

  private void addServer(String machine, String service) {
    String id = "w" + nextNumber++;
    servers.put(id, new PlannerServer(id, machine, service, clock.nowMs()));
  }

  /** Lists all backend servers to the planner, now and periodically. */
  void listServers(boolean complete) {
    List<ServerEntry> entries = servers.values().stream().map(s -> s.entry(clock.nowMs())).toList();
    planner.accept(new PlanEvent.ServersRead(0, entries, List.of(), complete));
    clock.schedule(LIST_INTERVAL_MS, () -> listServers(false));
  }

  /** Carries out an effect of the planner. */
  void carryOut(PlanEffect effect) {
    long sentMs = clock.nowMs();
    switch (effect) {
      case PlanEffect.Append append ->
          emitAfter(
              APPEND_LATENCY_MS,
              new PlanEvent.Appended(append.sequence(), sentMs, StoreResult.DONE));
      case PlanEffect.Start start -> start(start);
      case PlanEffect.Stop stop -> stop(stop);
      case PlanEffect.Hold renewal -> renewLease(renewal, sentMs);
      case PlanEffect.ListMachines list ->
          emitAfter(ORDER_LATENCY_MS, new PlanEvent.MachinesRead(sentMs, machines()));
      case PlanEffect.Move move -> move(move);
      case PlanEffect.Resign resign -> throw new IllegalStateException(resign.reason());
      default -> {}
    }
  }

  private void emitAfter(long delayMs, PlanEvent event) {
    clock.schedule(delayMs, () -> planner.accept(event));
  }

  private void start(PlanEffect.Start start) {
    startCount++;
    String id = start.server().id();
    long startTimeMs = start.server().startTimeMs();
    PlannerServer server = servers.get(id);
    if (server == null) {
      OrderResult refused = new OrderResult.ConnectionRefused();
      emitAfter(
          ORDER_LATENCY_MS,
          new PlanEvent.Started(id, startTimeMs, start.task(), start.run(), refused));
      return;
    }
    server.start(start.task(), start.run());
    StepSpec step = steps.apply(start.task());
    if (!step.lasting()) {
      long length =
          (long) (step.estimateMs() * random.nextDouble(MIN_LENGTH_FACTOR, MAX_LENGTH_FACTOR));
      clock.schedule(
          length, () -> server.finish(start.task(), start.run(), FinishedRun.Outcome.DONE));
    }
    OrderResult obeyed = new OrderResult.Obeyed(server.clockMs(clock.nowMs()));
    emitAfter(
        ORDER_LATENCY_MS,
        new PlanEvent.Started(id, startTimeMs, start.task(), start.run(), obeyed));
  }

  private void stop(PlanEffect.Stop stop) {
    PlannerServer server = servers.get(stop.server().id());
    OrderResult result = new OrderResult.ConnectionRefused();
    if (server != null) {
      server.finish(stop.task(), stop.run(), FinishedRun.Outcome.STOPPED);
      result = new OrderResult.Obeyed(server.clockMs(clock.nowMs()));
    }
    emitAfter(
        ORDER_LATENCY_MS,
        new PlanEvent.Stopped(
            stop.server().id(), stop.server().startTimeMs(), stop.task(), stop.run(), result));
  }

  private void renewLease(PlanEffect.Hold renewal, long sentMs) {
    PlannerServer server = servers.get(renewal.server().id());
    if (server == null) {
      return;
    }
    server.acknowledge(renewal);
    boolean[] answered = {false};
    Runnable answer =
        () -> {
          if (!answered[0]) {
            answered[0] = true;
            clock.schedule(
                ORDER_LATENCY_MS, () -> planner.accept(leaseRenewed(server, renewal, sentMs)));
          }
        };
    if (server.hasFinishedRuns() || renewal.waitMs() == 0) {
      answer.run();
    } else {
      server.pendingRenewal = answer;
      clock.schedule(renewal.waitMs(), answer);
    }
  }

  private PlanEvent leaseRenewed(PlannerServer server, PlanEffect.Hold renewal, long sentMs) {
    return new PlanEvent.Held(
        server.id,
        server.startTimeMs,
        renewal.acknowledgedCompletion(),
        sentMs,
        server.renewalResult(clock.nowMs()));
  }

  private List<MachineEntry> machines() {
    Stream<MachineEntry> up =
        servers.values().stream().map(s -> new MachineEntry(s.machine, s.service, true, s.id));
    return Stream.concat(up, poweredOff.values().stream()).toList();
  }

  private void move(PlanEffect.Move move) {
    emitAfter(
        ORDER_LATENCY_MS, new PlanEvent.Moved(move.machine(), move.service(), MachineResult.BEGUN));
    new ArrayList<>(servers.values())
        .stream().filter(s -> s.machine.equals(move.machine())).forEach(s -> servers.remove(s.id));
    poweredOff.remove(move.machine());
    if (move.service().equals(PlannerLoad.SPARE)) {
      poweredOff.put(move.machine(), new MachineEntry(move.machine(), move.service(), true, ""));
    } else {
      clock.schedule(MOVE_DURATION_MS, () -> completeMove(move));
    }
  }

  private void completeMove(PlanEffect.Move move) {
    addServer(move.machine(), move.service());
    List<ServerEntry> entries =
        servers.values().stream()
            .filter(s -> s.machine.equals(move.machine()))
            .map(s -> s.entry(clock.nowMs()))
            .toList();
    planner.accept(new PlanEvent.ServersRead(0, entries, List.of(), false));
  }
}
