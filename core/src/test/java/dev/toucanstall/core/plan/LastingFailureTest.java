package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import dev.toucanstall.core.job.FinishedRun;
import dev.toucanstall.core.job.TaskKey;
import org.junit.jupiter.api.Test;

/** Tests how failures of lasting tasks count against their backend servers. */
final class LastingFailureTest {

  private static final int TASKS = 4;

  private static PlanSimulation lastingJobOnTwoServers() {
    PlanSimulation sim = new PlanSimulation(1);
    sim.addServer("w1", 10_000);
    sim.addServer("w2", 10_000);
    sim.electPlanner();
    sim.run(500);
    sim.submit("j", PlanSimulation.lastingStep(TASKS, 1_000, 0));
    sim.run(2_000);
    return sim;
  }

  private static void fail(PlanSimulation sim, TaskKey task) {
    sim.servers
        .values()
        .forEach(s -> s.finish(task, FinishedRun.Outcome.FAILED, sim.now().steadyMs()));
  }

  private static boolean runs(PlanSimulation sim, TaskKey task) {
    return sim.servers.values().stream().anyMatch(s -> s.running.containsKey(task));
  }

  /**
   * Guards against sound backend servers that get no tasks because lasting tasks fail now and then.
   */
  @Test
  void rareFailuresOfServingTasksShutOutNoServer() {
    PlanSimulation sim = lastingJobOnTwoServers();
    for (int i = 0; i < 20; i++) {
      TaskKey task = new TaskKey("j", 0, 0, i % TASKS);
      fail(sim, task);
      sim.run(1_000);
      assertWithMessage("failure %s", i).that(runs(sim, task)).isTrue();
      sim.run(2_000);
    }
    assertThat(sim.violations).isEmpty();
  }
}
