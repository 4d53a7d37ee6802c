package dev.toucanstall.testbed.soak;

import dev.toucanstall.testbed.soak.Fault.CrashServers;
import dev.toucanstall.testbed.soak.Fault.CutServers;
import dev.toucanstall.testbed.soak.Fault.CutStarted;
import dev.toucanstall.testbed.soak.Fault.CutStore;
import dev.toucanstall.testbed.soak.Fault.FreezePlanner;
import dev.toucanstall.testbed.soak.Fault.HoldOrders;
import dev.toucanstall.testbed.soak.Fault.KillPlanner;
import dev.toucanstall.testbed.soak.Fault.LoseServer;
import dev.toucanstall.testbed.soak.Fault.ReassignGroup;
import dev.toucanstall.testbed.soak.Fault.Refusal;
import dev.toucanstall.testbed.soak.Fault.RefuseStore;
import dev.toucanstall.testbed.soak.Fault.Scope;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/** Makes the plan of faults from a seed: series of faults that overlap. Stateless. */
final class FaultPlan {

  private static final long FIRST_SERIES_MS = 1_500;
  private static final long MIN_SERIES_MS = 5_000;
  private static final long MAX_SERIES_MS = 12_000;

  /** Time before each restart, longer than any lease. */
  private static final long MIN_UPTIME_MS = 11_000;

  private FaultPlan() {}

  /**
   * A fault and when it begins.
   *
   * @param atMs milliseconds since the faults begin
   * @param fault the fault
   */
  record Step(long atMs, Fault fault) {}

  /**
   * Returns the plan for a seed, by time.
   *
   * @param seed the seed
   * @param lengthMs time in which faults begin, in milliseconds
   */
  static List<Step> of(long seed, long lengthMs) {
    Random random = new Random(seed);
    List<Step> steps = new ArrayList<>();
    for (long at = FIRST_SERIES_MS;
        at < lengthMs;
        at += between(random, MIN_SERIES_MS, MAX_SERIES_MS)) {
      if (random.nextInt(4) == 0) {
        addOutage(steps, at, random);
      } else {
        addSeries(steps, at, random);
      }
    }
    steps.removeIf(step -> step.atMs() >= lengthMs);
    steps.sort(Comparator.comparingLong(Step::atMs));
    return steps;
  }

  /**
   * Returns the plan of restarts for a seed, by time: in each series, backend servers start again
   * under their ids, the planner is killed soon after, and these servers are cut off.
   *
   * @param seed the seed
   * @param lengthMs time in which faults begin, in milliseconds
   */
  static List<Step> ofRestarts(long seed, long lengthMs) {
    Random random = new Random(seed);
    List<Step> steps = new ArrayList<>();
    for (long at = MIN_UPTIME_MS;
        at < lengthMs;
        at += MIN_UPTIME_MS + between(random, MIN_SERIES_MS, MAX_SERIES_MS)) {
      addRestart(steps, at, random);
    }
    steps.removeIf(step -> step.atMs() >= lengthMs);
    steps.sort(Comparator.comparingLong(Step::atMs));
    return steps;
  }

  private static void addRestart(List<Step> steps, long at, Random random) {
    long down = between(random, 50, 700);
    steps.add(new Step(at, new CrashServers(3, true, random.nextBoolean(), down)));
    long lossAt = at + down + between(random, 200, 3_000);
    steps.add(new Step(lossAt, new KillPlanner(between(random, 3_000, 6_000))));
    long cutAt = lossAt + between(random, 0, 1_000);
    LinkMode mode = oneOf(random, List.of(LinkMode.SILENT, LinkMode.RESET, LinkMode.REFUSE));
    long cut = between(random, 6_000, 12_000);
    steps.add(new Step(cutAt, new CutStarted(mode, cutAt - at, cut)));
  }

  private static long between(Random random, long from, long to) {
    return random.nextLong(from, to);
  }

  private static <T> T oneOf(Random random, List<T> choices) {
    return choices.get(random.nextInt(choices.size()));
  }

  /** Adds a cut of backend servers, mostly around the loss of one or more planners, and others. */
  private static void addSeries(List<Step> steps, long at, Random random) {
    if (random.nextInt(10) < 8) {
      steps.add(new Step(at, cut(random)));
    }
    long loss = at + between(random, 0, 1_500);
    int losses = oneOf(random, List.of(0, 1, 1, 1, 2, 3));
    for (int i = 0; i < losses; i++) {
      steps.add(new Step(loss, loss(random)));
      loss += between(random, 300, 3_500);
    }
    if (random.nextInt(10) < 4) {
      steps.add(
          new Step(
              at + between(random, 0, 4_000),
              new CrashServers(
                  1 + random.nextInt(2),
                  random.nextInt(4) > 0,
                  random.nextBoolean(),
                  between(random, 200, 5_000))));
    }
    if (random.nextInt(10) < 4) {
      steps.add(
          new Step(
              at + between(random, 0, 3_000),
              new HoldOrders(0.4, between(random, 200, 1_200), between(random, 500, 8_000))));
    }
    if (random.nextInt(10) < 4) {
      steps.add(new Step(at + between(random, 0, 3_000), storeFault(random)));
    }
    if (random.nextInt(10) < 2) {
      steps.add(new Step(at + between(random, 0, 3_000), new ReassignGroup()));
    }
    if (random.nextInt(10) < 1) {
      steps.add(new Step(at + between(random, 0, 3_000), new LoseServer(random.nextBoolean())));
    }
    if (random.nextInt(10) < 2) {
      addLateOrders(steps, at, random);
    }
  }

  /** Adds orders that are carried out late, some at servers that have started again meanwhile. */
  private static void addLateOrders(List<Step> steps, long at, Random random) {
    long heldAt = at + between(random, -1_000, 1_000);
    long window = between(random, 300, 1_500);
    steps.add(new Step(heldAt, new HoldOrders(0.6, window, between(random, 1_000, 8_000))));
    steps.add(
        new Step(
            heldAt + between(random, 100, window),
            new CrashServers(3, true, random.nextBoolean(), between(random, 100, 1_500))));
  }

  /**
   * Adds an outage of the store for all, with backend servers that are cut off from everything
   * meanwhile and a planner that is lost near its end.
   */
  private static void addOutage(List<Step> steps, long at, Random random) {
    long outage = between(random, 3_000, 9_000);
    Refusal refusal = oneOf(random, List.of(Refusal.values()));
    steps.add(new Step(at, new RefuseStore(refusal, Scope.ALL, outage)));
    LinkMode mode = oneOf(random, List.of(LinkMode.SILENT, LinkMode.RESET, LinkMode.REFUSE));
    long cutAt = at + between(random, 0, outage);
    long cut = between(random, 3_000, 12_000);
    steps.add(new Step(cutAt, new CutServers(mode, 0.3, Scope.ALL, true, cut)));
    long lossAt = at + outage + between(random, -2_500, 500);
    steps.add(new Step(lossAt, loss(random)));
  }

  private static Fault cut(Random random) {
    LinkMode mode =
        oneOf(
            random,
            List.of(
                LinkMode.SILENT, LinkMode.RESET, LinkMode.RESET, LinkMode.REFUSE, LinkMode.DELAY));
    Scope scope =
        oneOf(random, List.of(Scope.ALL, Scope.ALL, Scope.PLANNER, Scope.ALL_BUT_PLANNER));
    return new CutServers(
        mode,
        0.2 + 0.4 * random.nextDouble(),
        scope,
        random.nextBoolean(),
        between(random, 800, 9_000));
  }

  private static Fault loss(Random random) {
    return random.nextInt(3) > 0
        ? new KillPlanner(between(random, 300, 4_000))
        : new FreezePlanner(between(random, 1_000, 7_000));
  }

  private static Fault storeFault(Random random) {
    Scope scope = oneOf(random, List.of(Scope.ALL, Scope.PLANNER, Scope.HALF));
    long millis = between(random, 500, 6_000);
    return random.nextBoolean()
        ? new RefuseStore(oneOf(random, List.of(Refusal.values())), scope, millis)
        : new CutStore(
            oneOf(random, List.of(LinkMode.SILENT, LinkMode.RESET, LinkMode.DELAY)), scope, millis);
  }
}
