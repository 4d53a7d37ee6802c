package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.JobCall;
import dev.toucanstall.core.job.JobRecord;
import dev.toucanstall.core.job.JobSpec;
import dev.toucanstall.core.job.StepSpec;
import dev.toucanstall.core.job.WaveOrder;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * Simulates a wave on a platform that checks fencing tokens for each machine by itself, and that
 * may leave an order unanswered and carry it out seconds later. Collects the violations of the
 * wave's limit.
 */
final class MaintenanceSimulation {

  static final int WAVE = 1;

  private static final long TICK_MS = 20;
  private static final long SERVER_LIST_INTERVAL_MS = 500;
  private static final long MAINTENANCE_MS = 2_000;
  private static final long ANSWER_TIMEOUT_MS = 1_500;
  private static final long ANSWER_DELAY_MS = 5;

  /** What the platform does with an order. */
  enum Handling {
    /** Carries the order out and answers it. */
    ANSWERED,
    /** Carries the order out at once, but does not answer. */
    ANSWER_LOST,
    /** Neither carries the order out nor answers it. */
    LOST,
    /** Carries the order out seconds later, without an answer. */
    LATE
  }

  /** Shortest and longest delay of a late order, in milliseconds. */
  private static final long MIN_LATE_MS = 2_000;

  private static final long MAX_LATE_MS = 12_000;

  /** Planner during one term. */
  final class Planner {

    final Plan plan;

    /** Whether the planner handles events. */
    boolean active = true;

    Planner(Plan plan) {
      this.plan = plan;
    }

    void handle(PlanEvent event) {
      if (active) {
        PlanReducer.reduce(plan, event, sim.now()).forEach(this::carryOut);
      }
    }

    private void carryOut(PlanEffect effect) {
      switch (effect) {
        case PlanEffect.Maintain order -> takeOrder(this, order);
        case PlanEffect.Resign resign -> active = false;
        default -> sim.carryOut(this::handle, effect);
      }
    }
  }

  final PlanSimulation sim;

  /** Orders that planners have sent, in their order. */
  final List<PlanEffect.Maintain> orders = new ArrayList<>();

  /** Violations of the wave's limit, and tasks that an order has ended. */
  final List<String> violations = new ArrayList<>();

  /** Machines whose maintenance for the wave has begun. */
  final Set<String> begun = new HashSet<>();

  /** Decides what the platform does with the next order. */
  Function<PlanEffect.Maintain, Handling> platform = order -> Handling.ANSWERED;

  /** The wave, null until it is ordered. */
  private @Nullable WaveOrder wave;

  /** Newest planner, null until the first election. */
  @Nullable Planner planner;

  private final Map<String, Long> tokens = new HashMap<>();
  private final Set<String> down = new HashSet<>();
  private final Map<String, Integer> livesByMachine = new LinkedHashMap<>();
  private long lastCallId;

  /** Starts a planner over some backend servers, whose machines are named after them. */
  MaintenanceSimulation(long seed, String... servers) {
    sim = new PlanSimulation(seed);
    sim.weight = 100;
    for (String id : servers) {
      sim.addServer(id, 10_000);
    }
    sim.after(0, this::tick);
    sim.after(0, this::listServers);
    elect();
    sim.run(200);
  }

  private void tick() {
    post(new PlanEvent.Tick());
    sim.after(TICK_MS, this::tick);
  }

  private void listServers() {
    post(sim.serversRead(false));
    sim.after(SERVER_LIST_INTERVAL_MS, this::listServers);
  }

  private void post(PlanEvent event) {
    Optional.ofNullable(planner).ifPresent(p -> p.handle(event));
  }

  /** Orders the wave: at most one of the machines at a time. */
  void orderWave(String... machines) {
    wave = new WaveOrder(WAVE, List.of(machines), 60_000, 1);
    post(new PlanEvent.WaveOrdered(wave));
  }

  /** Starts a planner with the next epoch from what is stored; the last one stops. */
  void elect() {
    Optional.ofNullable(planner).ifPresent(p -> p.active = false);
    long epoch = sim.fence(sim.lowestEpoch + 1);
    Planner next =
        new Planner(
            new Plan(
                epoch,
                1,
                sim.catalog(),
                sim.records(),
                sim.now(),
                sim.storeLimits,
                Succession.ofUnknown(sim.now())));
    planner = next;
    next.handle(sim.serversRead(true));
    Optional.ofNullable(wave).ifPresent(w -> next.handle(new PlanEvent.WaveOrdered(w)));
  }

  void submit(String job, StepSpec step) {
    JobSpec spec = new JobSpec("text", List.of(step), 1, 0, 0);
    JobCall call = new JobCall.Submit(job, PlanSimulation.QUEUE, PlanSimulation.ACCOUNT, spec);
    post(new PlanEvent.Called(++lastCallId, call));
  }

  void cancel(String job) {
    JobCall call = new JobCall.Cancel(job, PlanSimulation.QUEUE);
    post(new PlanEvent.Called(++lastCallId, call));
  }

  /** Submits a job of short tasks each 200 ms for a time, in milliseconds. */
  void runUnderLoad(long durationMs) {
    for (long elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 200) {
      submit("j" + sim.now().steadyMs(), PlanSimulation.step(12, 1_000));
      sim.run(200);
    }
  }

  /** Removes a machine and its backend server. */
  void removeMachine(String machine) {
    sim.servers.values().removeIf(s -> s.machine.equals(machine));
  }

  /** Lets the next planners read no wave. */
  void forgetWave() {
    wave = null;
  }

  /** Returns the orders that the next planner would know of. */
  List<JobRecord.MachineMaintenance> storedOrders() {
    return sim.stored.get("maintenance") instanceof JobRecord.OpenMaintenance open
        ? open.orders()
        : List.of();
  }

  /** Returns whether the planner gives a backend server tasks. */
  boolean takesTasks(String id) {
    Server server = Objects.requireNonNull(planner).plan.servers.get(id);
    return server != null && server.takesTasks(sim.now().steadyMs());
  }

  SimulatedServer serverOn(String machine) {
    return find(machine).orElseThrow();
  }

  private Optional<SimulatedServer> find(String machine) {
    return sim.servers.values().stream().filter(s -> s.machine.equals(machine)).findFirst();
  }

  private void takeOrder(Planner from, PlanEffect.Maintain order) {
    orders.add(order);
    boolean known =
        storedOrders().stream()
            .anyMatch(o -> o.wave() == order.wave() && o.machine().equals(order.machine()));
    if (!known) {
      violations.add("the order for " + order.machine() + " is not stored");
    }
    switch (platform.apply(order)) {
      case ANSWERED -> {
        MachineResult result = carryOut(order);
        answer(from, order, result, ANSWER_DELAY_MS);
      }
      case ANSWER_LOST -> {
        carryOut(order);
        answer(from, order, MachineResult.MAYBE, ANSWER_TIMEOUT_MS);
      }
      case LOST -> answer(from, order, MachineResult.MAYBE, ANSWER_TIMEOUT_MS);
      default -> {
        sim.after(MIN_LATE_MS, () -> carryOutLate(order, MIN_LATE_MS));
        answer(from, order, MachineResult.MAYBE, ANSWER_TIMEOUT_MS);
      }
    }
  }

  private void answer(Planner to, PlanEffect.Maintain order, MachineResult result, long delayMs) {
    PlanEvent event = new PlanEvent.Maintained(order.wave(), order.machine(), result);
    sim.after(delayMs, () -> to.handle(event));
  }

  /** Carries an order out as soon as another machine is down, or after the longest delay. */
  private void carryOutLate(PlanEffect.Maintain order, long elapsedMs) {
    if (down.isEmpty() && elapsedMs < MAX_LATE_MS) {
      sim.after(TICK_MS, () -> carryOutLate(order, elapsedMs + TICK_MS));
    } else {
      carryOut(order);
    }
  }

  private MachineResult carryOut(PlanEffect.Maintain order) {
    String machine = order.machine();
    Optional<SimulatedServer> server = find(machine);
    if (server.isEmpty()) {
      return MachineResult.UNFIT;
    }
    if (order.fencingToken() < tokens.getOrDefault(machine, 0L)) {
      return MachineResult.FENCED;
    }
    tokens.put(machine, order.fencingToken());
    if (begun.contains(machine)) {
      return MachineResult.BEGUN;
    }
    if (!down.isEmpty()) {
      violations.add(machine + " is maintained while " + down + " are down");
    }
    begin(server.get());
    return MachineResult.BEGUN;
  }

  /** Ends the backend server of a machine; the machine has another one after its maintenance. */
  private void begin(SimulatedServer server) {
    String machine = server.machine;
    begun.add(machine);
    down.add(machine);
    server.running.keySet().forEach(task -> violations.add("maintenance ends " + task));
    server.crash();
    sim.after(
        MAINTENANCE_MS,
        () -> {
          down.remove(machine);
          sim.servers.remove(server.id);
          String id = server.id + "-" + livesByMachine.merge(machine, 1, Integer::sum);
          sim.servers.put(
              id,
              new SimulatedServer(
                  id, machine, server.service, server.capacity, sim.now().steadyMs(), sim));
        });
  }
}
