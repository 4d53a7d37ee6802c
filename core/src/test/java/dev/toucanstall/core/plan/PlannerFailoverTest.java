package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertWithMessage;

import dev.toucanstall.core.job.JobSpec;
import dev.toucanstall.core.job.TaskKey;
import java.util.List;
import java.util.Objects;
import java.util.function.ObjLongConsumer;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Tests which entry instance takes over when the planner is lost, and how soon, among a few large
 * and many small instances under load.
 */
final class PlannerFailoverTest {

  private static final int SEED_COUNT = Integer.getInteger("random.runs", 25);
  private static final long FIRST_SEED = Long.getLong("random.seed", 1);
  private static final ProcessingTime PROCESSING_TIME = new ProcessingTime(100, 500);
  private static final double LARGE_CORES = 1.5;
  private static final double SMALL_CORES = 0.36;
  private static final int LARGE_INSTANCES = 4;
  private static final int SMALL_INSTANCES = 12;
  private static final int SERVER_COUNT = 40;

  /** Time from the loss of a planner until its links time out and are not made anew. */
  private static final long DETECTION_MS = 1_500;

  private static final long ELECTION_MS = 500;

  /** Time in which the store's refusals show that it doesn't serve the planner. */
  private static final long REFUSAL_DETECTION_MS = 600;

  /** Longest time from the refusal of a planner by the store until another one plans. */
  private static final long MAX_PAUSE_MS = 1_500;

  /** Time without a planner after which small instances may take over, with its detection. */
  private static final long SMALL_TAKEOVER_MS = 2_500;

  private static NodeSimulation simulation(long seed) {
    NodeSimulation sim = new NodeSimulation(seed);
    sim.processingTime = PROCESSING_TIME;
    sim.platform.weight = 10_000;
    IntStream.range(0, SERVER_COUNT).forEach(i -> sim.platform.addServer("w" + i, 60_000));
    IntStream.range(0, LARGE_INSTANCES).forEach(i -> sim.startInstance(LARGE_CORES));
    IntStream.range(0, SMALL_INSTANCES).forEach(i -> sim.startInstance(SMALL_CORES));
    sim.run(6_000);
    sim.runningInstances().forEach(i -> submitPeriodically(sim, i));
    sim.run(2_000);
    return sim;
  }

  /** Submits a job to an entry instance ten times a second until its process ends. */
  private static void submitPeriodically(NodeSimulation sim, SimulatedInstance instance) {
    if (instance.terminated) {
      return;
    }
    String job = "%016x".formatted(sim.clients.requests.size() + 1L);
    JobSpec spec = new JobSpec("text", List.of(PlanSimulation.step(2, 500)), 1, 0, 0);
    sim.clients.submit(instance, PlanSimulation.QUEUE, job, spec);
    sim.after(100, () -> submitPeriodically(sim, instance));
  }

  private static SimulatedInstance planner(NodeSimulation sim, long seed) {
    SimulatedInstance planner = sim.planner();
    assertWithMessage("planner, seed %s", seed).that(planner).isNotNull();
    return Objects.requireNonNull(planner);
  }

  private static void assertPlannerCores(NodeSimulation sim, long seed, double cores) {
    assertWithMessage("cores of the planner, seed %s", seed)
        .that(planner(sim, seed).cores)
        .isEqualTo(cores);
  }

  /** Returns the running instances of a processor capacity, in cores. */
  private static List<SimulatedInstance> instances(NodeSimulation sim, double cores) {
    return sim.runningInstances().filter(i -> i.cores == cores).toList();
  }

  /** Runs a check with each seed, after which no invariant may be violated. */
  private static void forEachSeed(ObjLongConsumer<NodeSimulation> check) {
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; seed++) {
      NodeSimulation sim = simulation(seed);
      check.accept(sim, seed);
      assertWithMessage("violated invariants, seed %s", seed)
          .that(sim.platform.violations)
          .isEmpty();
    }
  }

  /** Guards against a planner that can't carry the load and makes all calls wait for it. */
  @Test
  void largeInstanceTakesOverFromLostPlanner() {
    forEachSeed(
        (sim, seed) -> {
          final long completed = sim.completionTimesMs.size();
          final int smallElections = elections(sim, SMALL_CORES);
          assertPlannerCores(sim, seed, LARGE_CORES);
          planner(sim, seed).terminate();
          sim.run(DETECTION_MS + ELECTION_MS);
          assertPlannerCores(sim, seed, LARGE_CORES);
          assertWithMessage("elections of small instances, seed %s", seed)
              .that(elections(sim, SMALL_CORES))
              .isEqualTo(smallElections);
          sim.run(2_000);
          assertWithMessage("jobs completed meanwhile, seed %s", seed)
              .that((long) sim.completionTimesMs.size())
              .isGreaterThan(completed);
        });
  }

  /**
   * Guards against lasting tasks that stay without a run for longer than a lease and an election: a
   * backend server is cut off as the planner is lost, and its entry stays listed.
   */
  @Test
  void tasksOfServerLostWithThePlannerAreStartedWithinNineSeconds() {
    forEachSeed(
        (sim, seed) -> {
          String job = "ffffffffffffffff";
          JobSpec spec = new JobSpec("", List.of(PlanSimulation.lastingStep(4, 2_000, 1)), 1, 0, 0);
          sim.clients.submit(instances(sim, SMALL_CORES).getFirst(), "q", job, spec);
          sim.run(16_000);
          SimulatedServer lost =
              sim.platform.servers.values().stream()
                  .filter(s -> s.running.keySet().stream().anyMatch(t -> t.job().equals(job)))
                  .findFirst()
                  .orElseThrow();
          final TaskKey task =
              lost.running.keySet().stream()
                  .filter(t -> t.job().equals(job))
                  .findFirst()
                  .orElseThrow();
          planner(sim, seed).terminate();
          sim.run(100);
          lost.refusesConnections = true;
          long lostMs = sim.nowMs();
          sim.run(9_000);
          assertWithMessage("start of the lost task, seed %s", seed)
              .that(sim.platform.lastStartMs.getOrDefault(task, 0L))
              .isGreaterThan(lostMs);
        });
  }

  /** Guards against a fleet of small instances that waits for ever for a large one. */
  @Test
  void smallInstanceTakesOverOnceAllLargeOnesAreLost() {
    forEachSeed(
        (sim, seed) -> {
          instances(sim, LARGE_CORES).forEach(SimulatedInstance::terminate);
          sim.run(DETECTION_MS + SMALL_TAKEOVER_MS + ELECTION_MS);
          assertPlannerCores(sim, seed, SMALL_CORES);
        });
  }

  /**
   * Guards against a planner that waits for a store which refuses it, while the store serves other
   * instances.
   */
  @Test
  void instanceThatReachesStoreTakesOverFromRefusedPlanner() {
    forEachSeed(
        (sim, seed) -> {
          SimulatedInstance refused = planner(sim, seed);
          refused.storeRefused = true;
          sim.run(REFUSAL_DETECTION_MS + ELECTION_MS);
          assertWithMessage("planner, seed %s", seed)
              .that(planner(sim, seed))
              .isNotSameInstanceAs(refused);
          assertPlannerCores(sim, seed, LARGE_CORES);
          sim.run(4_000);
          refused.storeRefused = false;
          sim.run(4_000);
        });
  }

  /**
   * Guards against a successor that the store refuses as well, and that is asked again and again.
   */
  @Test
  void instanceThatReachesStoreTakesOverThoughOthersAreRefusedToo() {
    forEachSeed(
        (sim, seed) -> {
          SimulatedInstance planner = planner(sim, seed);
          planner.storeRefused = true;
          instances(sim, LARGE_CORES).stream()
              .filter(i -> i != planner)
              .limit(2)
              .forEach(i -> i.storeRefused = true);
          instances(sim, SMALL_CORES).stream()
              .limit(SMALL_INSTANCES / 3)
              .forEach(i -> i.storeRefused = true);
          sim.run(1_000);
          assertWithMessage("failed elections of one instance in a second, seed %s", seed)
              .that(mostFailedElections(sim))
              .isAtMost(1);
          sim.run(MAX_PAUSE_MS - 1_000);
          assertWithMessage("planner refused by the store, seed %s", seed)
              .that(planner(sim, seed).storeRefused)
              .isFalse();
          assertPlannerCores(sim, seed, LARGE_CORES);
        });
  }

  /** Guards against planners that replace each other in turn during an outage of the store. */
  @Test
  void outageOfStoreForAllChangesNoPlanner() {
    forEachSeed(
        (sim, seed) -> {
          final SimulatedInstance before = planner(sim, seed);
          final int elections = elections(sim, LARGE_CORES) + elections(sim, SMALL_CORES);
          sim.instances.forEach(i -> i.storeRefused = true);
          sim.run(1_200);
          sim.instances.forEach(i -> i.storeRefused = false);
          sim.run(3_000);
          assertWithMessage("planner, seed %s", seed)
              .that(planner(sim, seed))
              .isSameInstanceAs(before);
          assertWithMessage("elections, seed %s", seed)
              .that(elections(sim, LARGE_CORES) + elections(sim, SMALL_CORES))
              .isEqualTo(elections);
        });
  }

  /** Returns the largest number of failed elections of any one instance. */
  private static int mostFailedElections(NodeSimulation sim) {
    return sim.instances.stream().mapToInt(i -> i.logEventCount("election-failed")).max().orElse(0);
  }

  /** Returns how often instances of a processor capacity were elected, in cores. */
  private static int elections(NodeSimulation sim, double cores) {
    return sim.instances.stream()
        .filter(i -> i.cores == cores)
        .mapToInt(i -> i.logEventCount("planner-elected"))
        .sum();
  }
}
