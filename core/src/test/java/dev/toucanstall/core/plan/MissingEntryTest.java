package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertThat;

import dev.toucanstall.core.job.JobSpec;
import java.util.List;
import java.util.Objects;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Tests backend servers that are cut off from the store together with a planner, or from all but
 * one: their entries expire though they run on, and the planner on their side renews their leases
 * as long as it may.
 */
final class MissingEntryTest {

  private static final String JOB = "ffffffffffffffff";
  private static final int SERVER_COUNT = 6;
  private static final int TASK_COUNT = 6;
  private static final int INSTANCES = 5;

  /** Time in which each task must have a run again, in milliseconds. */
  private static final long RESTART_MS = 16_000;

  /** Report interval of the backend servers that lets an entry expire soon, in milliseconds. */
  private static final long SHORT_INTERVAL_MS = 300;

  private static final long USUAL_INTERVAL_MS = 1_500;

  /** Returns entry instances with a planner, and lasting tasks on backend servers. */
  private static NodeSimulation simulation(long seed) {
    NodeSimulation sim = new NodeSimulation(seed);
    IntStream.range(0, SERVER_COUNT).forEach(i -> sim.platform.addServer("w" + i, 10_000));
    IntStream.range(0, INSTANCES).forEach(i -> sim.startInstance(1.5));
    sim.run(3_000);
    JobSpec spec =
        new JobSpec("", List.of(PlanSimulation.lastingStep(TASK_COUNT, 1_000, 2)), 1, 0, 0);
    sim.clients.submit(sim.anyReady(null), PlanSimulation.QUEUE, JOB, spec);
    sim.run(3_000);
    servers(sim).subList(0, SERVER_COUNT / 2).forEach(s -> assertThat(s.running).isNotEmpty());
    return sim;
  }

  private static SimulatedInstance planner(NodeSimulation sim) {
    return Objects.requireNonNull(sim.planner());
  }

  /** Puts the planner and half of the backend servers on a side without the store. */
  private static void divide(NodeSimulation sim) {
    planner(sim).side = 1;
    servers(sim).subList(0, SERVER_COUNT / 2).forEach(s -> s.side = 1);
  }

  private static List<SimulatedServer> servers(NodeSimulation sim) {
    return List.copyOf(sim.platform.servers.values());
  }

  private static void assertNoSecondRuns(NodeSimulation sim) {
    sim.run(RESTART_MS);
    assertThat(sim.platform.violations).isEmpty();
    assertThat(sim.platform.activeRuns.values().stream().mapToInt(n -> n).sum())
        .isEqualTo(TASK_COUNT);
  }

  /**
   * Guards against two runs of a task at once: a planner that no other instance has followed yet
   * takes the store for away for all, so it prolongs leases after it was cut off with their backend
   * servers.
   */
  @Test
  void leasesThatNewPlannerProlongedAreAwaitedThoughEntriesAreMissing() {
    runNewPlannerCutOff(USUAL_INTERVAL_MS);
  }

  /** Guards against the same with entries that expire before the next planner is elected. */
  @Test
  void leasesThatNewPlannerProlongedAreAwaitedThoughEntriesExpireSoon() {
    runNewPlannerCutOff(SHORT_INTERVAL_MS);
  }

  private static void runNewPlannerCutOff(long reportIntervalMs) {
    NodeSimulation sim = simulation(1);
    sim.platform.reportIntervalMs = reportIntervalMs;
    planner(sim).terminate();
    while (sim.planner() == null) {
      sim.run(1);
    }
    divide(sim);
    assertNoSecondRuns(sim);
  }

  /**
   * Guards against two runs of a task at once: a planner prolongs leases while the store is away
   * for all, and is cut off with their backend servers before the store returns.
   */
  @Test
  void leasesProlongedDuringAnOutageAreAwaitedThoughEntriesAreMissing() {
    NodeSimulation sim = simulation(1);
    sim.platform.reportIntervalMs = SHORT_INTERVAL_MS;
    sim.platform.storeAvailable = false;
    sim.run(4_000);
    divide(sim);
    sim.run(100);
    sim.platform.storeAvailable = true;
    assertNoSecondRuns(sim);
  }

  /**
   * Guards against two runs of a task at once: backend servers lose the store, which refuses their
   * planner as well, so that another is elected soon; then the network divides, and the former
   * planner renews their leases as long as it may.
   */
  @Test
  void plainLeasesAreAwaitedThoughEntriesExpireSoon() {
    NodeSimulation sim = simulation(1);
    sim.platform.reportIntervalMs = SHORT_INTERVAL_MS;
    SimulatedInstance former = planner(sim);
    former.storeRefused = true;
    List<SimulatedServer> cutOff = servers(sim).subList(0, SERVER_COUNT / 2);
    cutOff.forEach(s -> s.reachesStore = false);
    while (planner(sim) == former) {
      sim.run(1);
    }
    former.side = 1;
    cutOff.forEach(s -> s.side = 1);
    assertNoSecondRuns(sim);
  }
}
