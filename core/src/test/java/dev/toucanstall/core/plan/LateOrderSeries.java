package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.FinishedRun;
import dev.toucanstall.core.job.TaskKey;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.function.LongUnaryOperator;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * One seeded series of faults around an order that gives a lease and reaches a backend server late:
 * the backend server starts again under its id meanwhile, is cut off for a time or lost, and the
 * planner is kept, or lost and replaced.
 */
final class LateOrderSeries {

  /** The order that is on its way while its backend server starts again. */
  enum LateOrder {
    START_OF_SHORT_TASK,
    FIRST_START_OF_LASTING_TASK,
    NEXT_START_OF_LASTING_TASK,
    RENEWAL
  }

  /** Moment of a fault relative to the restart of the backend server. */
  enum Moment {
    NEVER,
    BEFORE,
    AT,
    AFTER
  }

  /**
   * What a series has together.
   *
   * @param order the order that is on its way
   * @param idle whether nothing runs on the backend server when it ends
   * @param plannerLost when the planner is lost
   * @param cutOff when the backend server is cut off; if never, it is lost for good instead of
   *     starting again
   */
  record Combination(LateOrder order, boolean idle, Moment plannerLost, Moment cutOff) {

    /** Returns all combinations. */
    static List<Combination> all() {
      return Arrays.stream(LateOrder.values())
          .flatMap(order -> Stream.of(true, false).flatMap(idle -> allOf(order, idle)))
          .toList();
    }

    private static Stream<Combination> allOf(LateOrder order, boolean idle) {
      return Arrays.stream(Moment.values()).flatMap(lost -> allOf(order, idle, lost));
    }

    private static Stream<Combination> allOf(LateOrder order, boolean idle, Moment lost) {
      return Arrays.stream(Moment.values()).map(cut -> new Combination(order, idle, lost, cut));
    }
  }

  private static final int USED_SERVER_COUNT = 4;
  private static final int IDLE_SERVER_COUNT = 4;

  /** Start of the ids of servers that are idle as a rule. */
  private static final String IDLE_SERVER = "i";

  private static final String USED_SERVER = "u";

  /** Processors of a server, in thousandths of a core. */
  private static final long SERVER_CPU = 10_000;

  /** Need of a task that keeps a server used, in thousandths of a core. */
  private static final long BASE_CPU = 6_000;

  /** Need of a task that fits beside it, in thousandths of a core. */
  private static final long SMALL_CPU = 1_000;

  /** Time that a server is up before the series, in milliseconds; longer than any lease. */
  private static final long UPTIME_MS = 11_500;

  private static final long BASE_START_MS = 1_500;
  private static final long SHORT_TASK_MS = 300;

  /** Length of a task that outlasts each lease, in milliseconds. */
  private static final long LONG_TASK_MS = 11_000;

  private static final int MIN_JOB_GAP_MS = 300;
  private static final int MAX_JOB_GAP_MS = 1_500;

  /** One job in so many has a long task. */
  private static final int LONG_JOB_INTERVAL = 3;

  /** Shortest and longest length of the first run of a lasting task, in milliseconds. */
  private static final int MIN_FIRST_RUN_MS = 1_500;

  private static final int MAX_FIRST_RUN_MS = 3_000;

  /** Longest time until the order is sent, in milliseconds. */
  private static final long MAX_ORDER_WAIT_MS = 12_000;

  /** Longest time from an order to its arrival, and that of half of the orders. */
  private static final int MAX_ORDER_DELAY_MS = 2_500;

  private static final int USUAL_ORDER_DELAY_MS = 300;

  /** Longest time from the order to the end of the incarnation for which it is meant. */
  private static final int MAX_END_DELAY_MS = 600;

  /** Longest time in which no incarnation runs under the id, in milliseconds. */
  private static final int MAX_DARK_MS = 400;

  /** Longest time from the restart until an entry shows the later incarnation, in milliseconds. */
  private static final int MAX_ENTRY_DELAY_MS = 1_000;

  /** Longest time between the restart, or the first run after it, and another fault. */
  private static final int MAX_FAULT_GAP_MS = 500;

  /** Time after the restart in which a cut awaits the first run, in milliseconds. */
  private static final long MAX_RUN_WAIT_MS = 4_000;

  /** In one of so many series further orders are on their way as well. */
  private static final int FURTHER_ORDERS_INTERVAL = 3;

  /** One in so many servers that start again does so twice. */
  private static final int SECOND_RESTART_INTERVAL = 6;

  /** Shortest and longest time between the two restarts, in milliseconds. */
  private static final int MIN_SECOND_RESTART_MS = 200;

  private static final int MAX_SECOND_RESTART_MS = 3_000;

  private static final int MIN_ELECTION_MS = 300;
  private static final int MAX_ELECTION_MS = 2_000;

  /** One in so many planners that were elected in a series is lost, too. */
  private static final int SECOND_LOSS_INTERVAL = 4;

  /** Shortest and longest time from the election to that loss, in milliseconds. */
  private static final int MIN_SECOND_LOSS_MS = 300;

  private static final int MAX_SECOND_LOSS_MS = 3_000;

  /** Shortest and longest time from the last contact to the end of a cut, in milliseconds. */
  private static final int MIN_CUT_MS = 6_500;

  private static final int MAX_CUT_MS = 9_000;

  /** Longest time from the restart until a further job is submitted, in milliseconds. */
  private static final int MAX_FURTHER_JOB_MS = 2_500;

  /** Time in which jobs complete after the last fault, in milliseconds. */
  private static final long COMPLETION_MS = 26_000;

  private static final String PROBE = "probe";
  private static final String BASE = "base";
  private static final String FURTHER = "further";
  private static final String LONG_JOB = "long";

  private final PlanSimulation sim;
  private final LateOrderMonitor monitor;
  private final Combination combination;
  private final LongUnaryOperator leaseBoundChange;
  private boolean submitting = true;

  /** Time at which the order was sent, 0 while it wasn't. */
  private long orderedMs;

  /** Time of the restart, or of the end of a backend server that doesn't start again. */
  private long restartedMs;

  /** Time of the first loss of a planner, 0 if there was none. */
  private long plannerLostMs;

  private int plannersLost;

  /** Time of the cut, 0 if there was none. */
  private long cutMs;

  private boolean cutOff;

  /** Whether the backend server will be cut off once something runs on it. */
  private boolean cutAwaitsRun;

  private boolean idleAtEnd;

  /** Incarnation for which the order is meant. */
  private @Nullable SimulatedServer former;

  /** Incarnation that the order reaches, null before it starts. */
  private @Nullable SimulatedServer later;

  private boolean carriedOut;
  private int ordersDelivered;
  private boolean restartedTwice;

  /**
   * Creates a series.
   *
   * @param seed seed of the simulation
   * @param combination what comes together
   * @param leaseBoundChange changes the times at which a planner takes the leases of earlier ones
   *     for expired
   */
  LateOrderSeries(long seed, Combination combination, LongUnaryOperator leaseBoundChange) {
    sim = new PlanSimulation(seed);
    monitor = new LateOrderMonitor(sim);
    this.combination = combination;
    this.leaseBoundChange = leaseBoundChange;
  }

  /** Runs the series; returns the violations. */
  List<String> execute() {
    setUp();
    bringAboutOrder();
    if (orderedMs > 0) {
      injectFaults();
    }
    submitting = false;
    sim.servers.values().forEach(server -> server.draining = false);
    run(COMPLETION_MS);
    return monitor.violations();
  }

  /** Returns what came together in fact, null if the order didn't come about. */
  @Nullable Combination combinationSeen() {
    return orderedMs == 0
        ? null
        : new Combination(combination.order(), idleAtEnd, momentOf(plannerLostMs), momentOf(cutMs));
  }

  /** Returns whether an incarnation for which the order wasn't meant has carried it out. */
  boolean wasCarriedOut() {
    return carriedOut;
  }

  /** Returns what happened more than once: planners lost, orders on their way, restarts. */
  List<String> repeated() {
    return Stream.of(
            plannersLost > 1 ? "planner lost" : "",
            ordersDelivered > 1 ? "order on its way" : "",
            restartedTwice ? "restart" : "")
        .filter(name -> !name.isEmpty())
        .toList();
  }

  /** Returns the faults, and the runs of the jobs that violations name, oldest first. */
  List<String> trace(List<String> violations) {
    return monitor.trace(violations);
  }

  private Moment momentOf(long faultMs) {
    if (faultMs == 0) {
      return Moment.NEVER;
    }
    if (faultMs == restartedMs) {
      return Moment.AT;
    }
    return faultMs < restartedMs ? Moment.BEFORE : Moment.AFTER;
  }

  private long nowMs() {
    return sim.now().steadyMs();
  }

  private long drawMs(int minMs, int maxMs) {
    return minMs + sim.random.nextInt(maxMs - minMs + 1);
  }

  /** Lets time pass, in milliseconds, under observation. */
  private void run(long durationMs) {
    long endMs = nowMs() + durationMs;
    while (nowMs() < endMs) {
      sim.run(Math.min(LateOrderMonitor.INTERVAL_MS, endMs - nowMs()));
      monitor.observe();
      SimulatedServer target = former;
      if (target != null) {
        monitor.observeContact(target);
      }
      cutOffAtFirstRun();
    }
  }

  private void setUp() {
    sim.renewalsWait = sim.random.nextBoolean();
    sim.taskLengths = this::lengthMs;
    addServers(USED_SERVER, USED_SERVER_COUNT);
    sim.electPlanner();
    sim.run(LateOrderMonitor.INTERVAL_MS);
    monitor.submit(BASE, PlanSimulation.lastingStep(USED_SERVER_COUNT, BASE_CPU, 0));
    run(BASE_START_MS);
    addServers(IDLE_SERVER, IDLE_SERVER_COUNT);
    submitJobs();
    run(UPTIME_MS);
  }

  private void addServers(String prefix, int count) {
    for (int i = 0; i < count; i++) {
      sim.addServer(prefix + i, SERVER_CPU);
    }
  }

  /** Returns the length of a task; that of the probe is to end if its renewal is on its way. */
  private long lengthMs(TaskKey task) {
    boolean isShort =
        task.job().startsWith(LateOrderMonitor.SHORT_JOB)
            || (task.job().equals(PROBE) && combination.order() == LateOrder.RENEWAL);
    return isShort ? SHORT_TASK_MS : LONG_TASK_MS;
  }

  private void submitJobs() {
    if (!submitting) {
      return;
    }
    String kind =
        sim.random.nextInt(LONG_JOB_INTERVAL) == 0 ? LONG_JOB : LateOrderMonitor.SHORT_JOB;
    monitor.submit(kind + monitor.submittedJobs(), PlanSimulation.step(1, SMALL_CPU));
    sim.after(drawMs(MIN_JOB_GAP_MS, MAX_JOB_GAP_MS), this::submitJobs);
  }

  /** Returns the need of a task that goes to the wanted kind of server only. */
  private long probeCpu() {
    return combination.idle() ? SERVER_CPU : SMALL_CPU;
  }

  private static TaskKey probe() {
    return new TaskKey(PROBE, 0, 0, 0);
  }

  /** Lets time pass until the order is on its way, or gives up. */
  private void bringAboutOrder() {
    switch (combination.order()) {
      case START_OF_SHORT_TASK -> {
        holdBackFirst(this::isWantedStart);
        monitor.submit(PROBE, PlanSimulation.step(1, probeCpu()));
      }
      case FIRST_START_OF_LASTING_TASK -> {
        holdBackFirst(this::isWantedStart);
        monitor.submit(PROBE, PlanSimulation.lastingStep(1, probeCpu(), 0));
      }
      case NEXT_START_OF_LASTING_TASK -> {
        monitor.submit(PROBE, PlanSimulation.lastingStep(1, probeCpu(), 0));
        run(drawMs(MIN_FIRST_RUN_MS, MAX_FIRST_RUN_MS));
        holdBackFirst(this::isWantedStart);
        endFirstRun();
      }
      default -> bringAboutRenewal();
    }
    long endMs = nowMs() + MAX_ORDER_WAIT_MS;
    while (orderedMs == 0 && nowMs() < endMs) {
      run(LateOrderMonitor.INTERVAL_MS);
    }
  }

  private void bringAboutRenewal() {
    if (combination.idle()) {
      holdBackFirst(order -> givesLeaseTo(order, IDLE_SERVER));
      monitor.submit(PROBE, PlanSimulation.step(1, probeCpu()));
    } else {
      String id = USED_SERVER + sim.random.nextInt(USED_SERVER_COUNT);
      holdBackFirst(order -> givesLeaseTo(order, id));
    }
  }

  private static boolean givesLeaseTo(PlanEffect effect, String idPrefix) {
    return effect instanceof PlanEffect.Hold renewal
        && renewal.leaseExpiryMs() > 0
        && renewal.server().id().startsWith(idPrefix);
  }

  private boolean isWantedStart(PlanEffect effect) {
    return effect instanceof PlanEffect.Start start
        && start.task().equals(probe())
        && serverOf(start).running.isEmpty() == combination.idle();
  }

  private SimulatedServer serverOf(PlanEffect order) {
    return sim.requireServer(PlanSimulation.serverIdOf(order));
  }

  /**
   * Holds back the first order that is wanted, and in some series those after it that give a lease
   * to the same incarnation.
   */
  private void holdBackFirst(Predicate<PlanEffect> isWanted) {
    final boolean holdsMore = sim.random.nextInt(FURTHER_ORDERS_INTERVAL) == 0;
    sim.holdsBack =
        order -> {
          if (orderedMs > 0) {
            return holdsMore && isForFormer(order);
          }
          if (!isWanted.test(order)) {
            return false;
          }
          orderedMs = nowMs();
          former = serverOf(order);
          monitor.ordered("on its way to %s: %s".formatted(former.id, name(order)));
          return true;
        };
  }

  private boolean isForFormer(PlanEffect order) {
    SimulatedServer target = former;
    return target != null
        && restartedMs == 0
        && (order instanceof PlanEffect.Start || givesLeaseTo(order, target.id))
        && PlanSimulation.serverIdOf(order).equals(target.id);
  }

  private static String name(PlanEffect order) {
    return order instanceof PlanEffect.Start start
        ? "start of run %d of %s".formatted(start.run(), LateOrderMonitor.name(start.task()))
        : "renewal";
  }

  /** Ends the first run of the lasting task, by its own failure, a stop or its server's loss. */
  private void endFirstRun() {
    SimulatedServer server =
        sim.servers.values().stream()
            .filter(s -> s.running.containsKey(probe()))
            .findFirst()
            .orElseThrow();
    switch (sim.random.nextInt(3)) {
      case 0 -> server.finish(probe(), FinishedRun.Outcome.FAILED, nowMs());
      case 1 -> server.draining = true;
      default -> {
        server.crash();
        server.reachable = false;
        monitor.disrupt("lost for good: " + server.id);
      }
    }
  }

  private void injectFaults() {
    awaitEndOfIdlingTask();
    SimulatedServer target = Objects.requireNonNull(former);
    boolean returns = combination.cutOff() != Moment.NEVER;
    long endDelayMs = drawMs(1, MAX_END_DELAY_MS);
    long restartDelayMs = endDelayMs + (returns ? sim.random.nextInt(MAX_DARK_MS) : 0);
    scheduleAt(combination.plannerLost(), restartDelayMs, this::losePlanner);
    sim.after(endDelayMs, () -> end(target));
    if (returns) {
      scheduleAt(combination.cutOff(), restartDelayMs, this::cutOff);
      sim.after(restartDelayMs, () -> restart(target));
      long arrivalMs = Math.max(restartDelayMs, orderedMs + drawArrivalMs() - nowMs());
      sim.after(arrivalMs, this::deliver);
    }
    sim.after(restartDelayMs + sim.random.nextInt(MAX_FURTHER_JOB_MS), this::submitFurtherJob);
    run(restartDelayMs + MAX_RUN_WAIT_MS + MAX_FAULT_GAP_MS + MAX_CUT_MS);
  }

  /** Draws the time from the order to its arrival. */
  private long drawArrivalMs() {
    return drawMs(0, sim.random.nextBoolean() ? USUAL_ORDER_DELAY_MS : MAX_ORDER_DELAY_MS);
  }

  /** If the order is a renewal for a server that is to be idle, lets its task end. */
  private void awaitEndOfIdlingTask() {
    if (combination.order() != LateOrder.RENEWAL || !combination.idle()) {
      return;
    }
    long endMs = orderedMs + MAX_ORDER_DELAY_MS - MAX_END_DELAY_MS - MAX_DARK_MS;
    while (nowMs() < endMs && !isIdle(Objects.requireNonNull(former))) {
      run(LateOrderMonitor.INTERVAL_MS);
    }
  }

  private boolean isIdle(SimulatedServer server) {
    Server known = planner().plan.servers.get(server.id);
    return server.running.isEmpty() && known != null && known.tasks.isEmpty();
  }

  private PlanSimulation.Planner planner() {
    return Objects.requireNonNull(sim.planner);
  }

  /** Schedules a fault before, at or after the restart, which follows in a time. */
  private void scheduleAt(Moment moment, long restartDelayMs, Runnable fault) {
    switch (moment) {
      case BEFORE ->
          sim.after(restartDelayMs - Math.min(restartDelayMs, drawMs(1, MAX_FAULT_GAP_MS)), fault);
      case AT -> sim.after(restartDelayMs, fault);
      case AFTER -> sim.after(restartDelayMs + drawMs(1, MAX_FAULT_GAP_MS), fault);
      default -> {}
    }
  }

  private void end(SimulatedServer target) {
    restartedMs = nowMs();
    idleAtEnd = target.running.isEmpty();
    target.crash();
    target.reachable = false;
    monitor.disrupt("ends: " + target.id);
  }

  /** Starts the target again; its first report reaches the store a little later. */
  private void restart(SimulatedServer target) {
    restartedMs = nowMs();
    beginIncarnation(target);
    if (sim.random.nextInt(SECOND_RESTART_INTERVAL) == 0) {
      sim.after(drawMs(MIN_SECOND_RESTART_MS, MAX_SECOND_RESTART_MS), this::restartAgain);
    }
  }

  private void restartAgain() {
    SimulatedServer ended = Objects.requireNonNull(later);
    ended.crash();
    restartedTwice = true;
    beginIncarnation(ended);
  }

  private void beginIncarnation(SimulatedServer ended) {
    SimulatedServer restarted = sim.restartServer(ended);
    later = restarted;
    restarted.lastReportMs = 0;
    restarted.reachesStore = false;
    restarted.reachable = !cutOff;
    sim.after(
        sim.random.nextInt(MAX_ENTRY_DELAY_MS), () -> restarted.reachesStore = restarted.reachable);
    monitor.disrupt("starts again: " + ended.id);
  }

  /** Has the order carried out by the later incarnation, also behind a cut. */
  private void deliver() {
    SimulatedServer restarted = Objects.requireNonNull(later);
    final boolean reachable = restarted.reachable;
    final long leaseExpiryMs = restarted.leaseExpiryMs;
    ordersDelivered = sim.heldBack.size();
    restarted.reachable = true;
    sim.deliverOnItsWay();
    restarted.reachable = reachable;
    carriedOut = restarted.leaseExpiryMs > leaseExpiryMs;
    monitor.note(
        carriedOut
            ? "arrives, lease for %d ms".formatted(restarted.leaseExpiryMs - nowMs())
            : "arrives in vain");
  }

  private void losePlanner() {
    if (plannerLostMs == 0) {
      plannerLostMs = nowMs();
    }
    plannersLost++;
    PlanSimulation.Planner lost = planner();
    final long confirmedMs = lost.plan.confirmedMs();
    lost.active = false;
    monitor.disrupt("planner lost");
    sim.after(drawMs(MIN_ELECTION_MS, MAX_ELECTION_MS), () -> electPlanner(confirmedMs));
  }

  /** Elects a planner that knows when the store last confirmed the lost one. */
  private void electPlanner(long confirmedMs) {
    Succession succession = Succession.of(nowMs(), confirmedMs, 0);
    monitor.note("planner elected");
    sim.electPlanner(
        new Succession(
            succession.confirmedMs(),
            leaseBoundChange.applyAsLong(succession.leasesEndMs()),
            leaseBoundChange.applyAsLong(succession.formerClockLeasesEndMs())));
    if (plannersLost == 1 && sim.random.nextInt(SECOND_LOSS_INTERVAL) == 0) {
      sim.after(drawMs(MIN_SECOND_LOSS_MS, MAX_SECOND_LOSS_MS), this::losePlanner);
    }
  }

  /** Cuts the target off; if that comes after its restart, once something runs on it. */
  private void cutOff() {
    cutAwaitsRun = combination.cutOff() == Moment.AFTER;
    if (!cutAwaitsRun) {
      cutOffNow();
    }
  }

  private void cutOffAtFirstRun() {
    if (!cutAwaitsRun) {
      return;
    }
    boolean runs = !Objects.requireNonNull(later).running.isEmpty();
    if (runs || nowMs() >= restartedMs + MAX_RUN_WAIT_MS) {
      cutAwaitsRun = false;
      sim.after(sim.random.nextInt(MAX_FAULT_GAP_MS), this::cutOffNow);
    }
  }

  /** Cuts the target off until some time after the last contact. */
  private void cutOffNow() {
    cutMs = nowMs();
    cutOff = true;
    setReachable(false);
    monitor.setDisrupted(true, "cut off");
    long endMs = monitor.lastContactMs() + drawCutMs();
    sim.after(Math.max(0, endMs - nowMs()), this::endCut);
  }

  /** Draws the length of a cut; half of them are the longest. */
  private long drawCutMs() {
    return sim.random.nextBoolean() ? MAX_CUT_MS : drawMs(MIN_CUT_MS, MAX_CUT_MS);
  }

  private void endCut() {
    cutOff = false;
    setReachable(true);
    monitor.setDisrupted(false, "cut ends");
  }

  private void setReachable(boolean reachable) {
    SimulatedServer target = Objects.requireNonNull(later == null ? former : later);
    target.reachable = reachable;
    target.reachesStore = reachable;
  }

  /** Submits one more job to a planner, as soon as there is one. */
  private void submitFurtherJob() {
    if (!planner().active) {
      sim.after(LateOrderMonitor.INTERVAL_MS, this::submitFurtherJob);
      return;
    }
    monitor.submit(
        FURTHER,
        sim.random.nextBoolean()
            ? PlanSimulation.lastingStep(1, probeCpu(), 0)
            : PlanSimulation.step(1, probeCpu()));
  }
}
