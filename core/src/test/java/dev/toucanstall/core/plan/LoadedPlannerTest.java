package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.api.Test;

/** Tests what a planner does first that gets little processor time. */
final class LoadedPlannerTest {

  private static final int SERVERS = 4;
  private static final long SERVER_CPU = 64_000;
  private static final int LARGE_COUNT = 18_000;
  private static final long TASK_CPU = 20;

  private static LoadedPlanner planner(long eventMicros, long orderMicros) {
    LoadedPlanner planner = new LoadedPlanner(SERVERS, SERVER_CPU, eventMicros, orderMicros);
    planner.sim.taskMs = 200;
    planner.sim.run(500);
    planner.submit("lasting", PlanSimulation.lastingStep(4, 500, 0));
    planner.sim.run(2_000);
    return planner;
  }

  /**
   * Guards against leases that expire because their renewals wait behind thousands of starts that
   * were sent at once.
   */
  @Test
  void leasesAreKeptWhileTasksOfLargeJobStart() {
    LoadedPlanner planner = planner(200, 1_000);
    planner.submit("large", PlanSimulation.step(LARGE_COUNT, TASK_CPU));
    planner.submit("small", PlanSimulation.step(4, 500));
    planner.sim.run(35_000);
    assertWithMessage("lapsed runs").that(planner.lapsedRuns).isEqualTo(0);
    assertWithMessage("orders without an answer").that(planner.unansweredOrders).isEqualTo(0);
    assertThat(planner.completedJobs()).containsExactly("large", "small");
    assertThat(planner.sim.violations).isEmpty();
  }

  /**
   * Guards against leases that expire because their renewals wait behind thousands of stops that
   * were sent at once.
   */
  @Test
  void leasesAreKeptWhileTasksOfLargeJobAreStopped() {
    LoadedPlanner planner = planner(200, 1_000);
    planner.sim.taskMs = 60_000;
    planner.submit("large", PlanSimulation.step(LARGE_COUNT, TASK_CPU));
    planner.sim.run(20_000);
    planner.cancel("large");
    planner.sim.run(20_000);
    assertWithMessage("lapsed runs").that(planner.lapsedRuns).isEqualTo(0);
    assertWithMessage("orders without an answer").that(planner.unansweredOrders).isEqualTo(0);
    assertThat(planner.completedJobs()).containsExactly("large");
    assertThat(planner.sim.violations).isEmpty();
  }
}
