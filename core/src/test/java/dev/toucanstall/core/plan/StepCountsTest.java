package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertThat;

import dev.toucanstall.core.job.JobCall;
import dev.toucanstall.core.job.Resources;
import dev.toucanstall.core.job.TaskPhase;
import java.util.List;
import java.util.Objects;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Tests {@link StepCounts} and the other counts of a plan that are updated with each change of a
 * task.
 */
final class StepCountsTest {

  private static Plan plan(PlanSimulation sim) {
    return Objects.requireNonNull(sim.planner).plan;
  }

  private static void assertCountsMatch(Plan plan, Job job) {
    for (Occurrence occurrence : job.occurrences()) {
      for (StepTasks step : occurrence.steps) {
        assertCountsMatch(plan, step);
      }
    }
  }

  /** Checks the counts of a step against its tasks, also those that have no object. */
  private static void assertCountsMatch(Plan plan, StepTasks step) {
    List<Task> tasks = step.present().toList();
    StepCounts counts = step.counts;
    long done = IntStream.range(0, step.size()).filter(step::isDone).count();
    assertThat(tasks.size() + step.absentWaiting() + done).isEqualTo(step.size());
    assertThat(tasks.stream().noneMatch(t -> t.phase == TaskPhase.DONE)).isTrue();
    assertThat(counts.waiting())
        .isEqualTo(
            step.absentWaiting()
                + tasks.stream().filter(t -> t.phase == TaskPhase.WAITING).count());
    assertThat(counts.bound()).isEqualTo(tasks.stream().filter(t -> t.phase.bound()).count());
    assertThat(counts.done()).isEqualTo(done == step.size());
    for (Server server : plan.servers.values()) {
      assertThat(counts.boundTo(server))
          .isEqualTo(tasks.stream().filter(t -> t.server == server).count());
    }
  }

  /** Checks all counts of steps, and the free capacity of backend servers, against the tasks. */
  private static void assertCountsMatch(Plan plan) {
    plan.jobs.values().forEach(job -> assertCountsMatch(plan, job));
    for (Server server : plan.servers.values()) {
      Resources used =
          server.tasks.stream().map(t -> t.step.reserved()).reduce(Resources.NONE, Resources::plus);
      assertThat(server.freeCapacity()).isEqualTo(server.entry.capacity().minus(used));
      assertThat(plan.servers.byFreeCapacity(server.entry.service()).values()).contains(server);
    }
  }

  /** Guards against tasks that never start because a count disagrees with the tasks. */
  @Test
  void countsMatchTasksUnderFaultsAndCancellations() {
    PlanSimulation sim = new PlanSimulation(11);
    for (int i = 0; i < 6; i++) {
      sim.addServer("w" + i, 6_000);
    }
    sim.electPlanner();
    sim.run(200);
    sim.answerLossRate = 0.1;
    sim.lateOrderRate = 0.1;
    for (int i = 0; i < 40; i++) {
      sim.submit("j" + i, PlanSimulation.step(3, 1_000), PlanSimulation.step(2, 1_500, 0));
      sim.submit("l" + i, PlanSimulation.lastingStep(2, 500, 1));
      sim.run(150);
      sim.call(new JobCall.Cancel("l" + i / 2, PlanSimulation.QUEUE));
      if (i % 10 == 9) {
        sim.requireServer("w" + i / 10).crash();
        sim.addServer("w" + i / 10, 6_000);
      }
      assertCountsMatch(plan(sim));
    }
    sim.electPlanner();
    sim.run(2_000);
    assertCountsMatch(plan(sim));
  }
}
