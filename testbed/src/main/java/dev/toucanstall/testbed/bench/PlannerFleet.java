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
 * The store, the machines and the backend servers of a planner in virtual time. Nothing fails and
 * nothing is late. Not thread-safe.
 */
final class PlannerFleet {

  /** Times until the planner learns of an answer, in milliseconds. */
  private static final long APPEND_MS = 5;

  private static final long ORDER_MS = 2;
  private static final long MOVE_MS = 1_500;

  /** Time between two lists of all backend servers, in milliseconds. */
  private static final long BEAT_MS = 1_500;

  /** Bounds of a task's length as a part of its estimate. */
  private static final double SHORTEST = 0.7;

  private static final double LONGEST = 1.6;

  private final VirtualTime time;
  private final SplittableRandom random;
  private final Function<TaskKey, StepSpec> steps;
  private final Consumer<PlanEvent> planner;
  private final Map<String, PlannerServer> servers = new LinkedHashMap<>();
  private final Map<String, MachineEntry> off = new LinkedHashMap<>();
  private int numbers;

  /** How many starts were ordered. */
  long starts;

  PlannerFleet(
      VirtualTime time, long seed, Function<TaskKey, StepSpec> steps, Consumer<PlanEvent> planner) {
    this.time = time;
    this.random = new SplittableRandom(seed);
    this.steps = steps;
    this.planner = planner;
  }

  /** Adds machines that are up to a service, or machines that are off to the spare pool. */
  void add(String service, int machines) {
    for (int i = 0; i < machines; i++) {
      String machine = "m" + numbers++;
      if (service.equals(PlannerLoad.SPARE)) {
        off.put(machine, new MachineEntry(machine, service, true, ""));
      } else {
        bringUp(machine, service);
      }
    }
  }

  private void bringUp(String machine, String service) {
    String id = "w" + numbers++;
    servers.put(id, new PlannerServer(id, machine, service, time.nowMs()));
  }

  /** Lists all backend servers now and from time to time. */
  void list(boolean complete) {
    List<ServerEntry> entries = servers.values().stream().map(s -> s.entry(time.nowMs())).toList();
    planner.accept(new PlanEvent.ServersRead(entries, List.of(), complete));
    time.in(BEAT_MS, () -> list(false));
  }

  /** Carries out what the planner wants. */
  void carryOut(PlanEffect effect) {
    long sent = time.nowMs();
    switch (effect) {
      case PlanEffect.Append append ->
          tell(APPEND_MS, new PlanEvent.Appended(append.sequence(), sent, StoreResult.DONE));
      case PlanEffect.Start start -> start(start);
      case PlanEffect.Stop stop -> stop(stop);
      case PlanEffect.Hold hold -> hold(hold, sent);
      case PlanEffect.ListMachines list ->
          tell(ORDER_MS, new PlanEvent.MachinesRead(sent, machines()));
      case PlanEffect.Move move -> move(move);
      case PlanEffect.Resign resign -> throw new IllegalStateException(resign.reason());
      default -> {}
    }
  }

  private void tell(long inMs, PlanEvent event) {
    time.in(inMs, () -> planner.accept(event));
  }

  private void start(PlanEffect.Start start) {
    starts++;
    String id = start.server().id();
    long born = start.server().startTimeMs();
    PlannerServer server = servers.get(id);
    if (server == null) {
      OrderResult refused = new OrderResult.ConnectionRefused();
      tell(ORDER_MS, new PlanEvent.Started(id, born, start.task(), start.run(), refused));
      return;
    }
    server.start(start.task(), start.run());
    StepSpec step = steps.apply(start.task());
    if (!step.lasting()) {
      long length = (long) (step.estimateMs() * random.nextDouble(SHORTEST, LONGEST));
      time.in(length, () -> server.end(start.task(), start.run(), FinishedRun.Outcome.DONE));
    }
    OrderResult obeyed = new OrderResult.Obeyed(server.clock(time.nowMs()));
    tell(ORDER_MS, new PlanEvent.Started(id, born, start.task(), start.run(), obeyed));
  }

  private void stop(PlanEffect.Stop stop) {
    PlannerServer server = servers.get(stop.server().id());
    OrderResult result = new OrderResult.ConnectionRefused();
    if (server != null) {
      server.end(stop.task(), stop.run(), FinishedRun.Outcome.STOPPED);
      result = new OrderResult.Obeyed(server.clock(time.nowMs()));
    }
    tell(
        ORDER_MS,
        new PlanEvent.Stopped(
            stop.server().id(), stop.server().startTimeMs(), stop.task(), stop.run(), result));
  }

  private void hold(PlanEffect.Hold hold, long sent) {
    PlannerServer server = servers.get(hold.server().id());
    if (server == null) {
      return;
    }
    server.acknowledge(hold);
    boolean[] answered = {false};
    Runnable answer =
        () -> {
          if (!answered[0]) {
            answered[0] = true;
            time.in(ORDER_MS, () -> planner.accept(held(server, hold, sent)));
          }
        };
    if (server.hasEnds() || hold.waitMs() == 0) {
      answer.run();
    } else {
      server.waiting = answer;
      time.in(hold.waitMs(), answer);
    }
  }

  private PlanEvent held(PlannerServer server, PlanEffect.Hold hold, long sent) {
    return new PlanEvent.Held(
        server.id, server.bornMs, hold.acknowledgedCompletion(), sent, server.lists(time.nowMs()));
  }

  private List<MachineEntry> machines() {
    Stream<MachineEntry> up =
        servers.values().stream().map(s -> new MachineEntry(s.machine, s.service, true, s.id));
    return Stream.concat(up, off.values().stream()).toList();
  }

  private void move(PlanEffect.Move move) {
    tell(ORDER_MS, new PlanEvent.Moved(move.machine(), move.service(), MachineResult.BEGUN));
    new ArrayList<>(servers.values())
        .stream().filter(s -> s.machine.equals(move.machine())).forEach(s -> servers.remove(s.id));
    off.remove(move.machine());
    if (move.service().equals(PlannerLoad.SPARE)) {
      off.put(move.machine(), new MachineEntry(move.machine(), move.service(), true, ""));
    } else {
      time.in(MOVE_MS, () -> arrive(move));
    }
  }

  private void arrive(PlanEffect.Move move) {
    bringUp(move.machine(), move.service());
    List<ServerEntry> entries =
        servers.values().stream()
            .filter(s -> s.machine.equals(move.machine()))
            .map(s -> s.entry(time.nowMs()))
            .toList();
    planner.accept(new PlanEvent.ServersRead(entries, List.of(), false));
  }
}
