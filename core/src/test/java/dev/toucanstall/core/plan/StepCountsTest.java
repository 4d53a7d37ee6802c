package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertThat;

import dev.toucanstall.core.job.JobCall;
import dev.toucanstall.core.job.Resources;
import dev.toucanstall.core.job.TaskPhase;
import java.util.List;
import java.util.Objects;
import org.junit.jupiter.api.Test;

final class StepCountsTest {

  private static Plan plan(PlanWorld world) {
    return Objects.requireNonNull(world.planner).plan;
  }

  private static void check(Plan plan, Job job) {
    for (int k = 0; k < job.occurrences.size(); k++) {
      for (int s = 0; s < job.occurrences.get(k).size(); s++) {
        List<Task> tasks = job.occurrences.get(k).get(s);
        StepCounts counts = job.counts(k, s);
        assertThat(counts.waiting())
            .isEqualTo(tasks.stream().filter(t -> t.phase == TaskPhase.WAITING).count());
        assertThat(counts.bound()).isEqualTo(tasks.stream().filter(t -> t.phase.bound()).count());
        assertThat(counts.done())
            .isEqualTo(tasks.stream().allMatch(t -> t.phase == TaskPhase.DONE));
        for (Server server : plan.servers.values()) {
          assertThat(counts.boundTo(server))
              .isEqualTo(tasks.stream().filter(t -> t.server == server).count());
        }
      }
    }
  }

  private static void check(Plan plan) {
    plan.jobs.values().forEach(job -> check(plan, job));
    for (Server server : plan.servers.values()) {
      Resources used =
          server.tasks.stream().map(t -> t.step.reserved()).reduce(Resources.NONE, Resources::plus);
      assertThat(server.freeCapacity()).isEqualTo(server.entry.capacity().minus(used));
      assertThat(plan.servers.byFreeCapacity(server.entry.service()).values()).contains(server);
    }
  }

  // Guards against tasks that never start because what is kept of them is not what they are.
  @Test
  void countsAgreeWithTheTasksUnderFaultsAndCancels() {
    PlanWorld world = new PlanWorld(11);
    for (int i = 0; i < 6; i++) {
      world.server("w" + i, 6_000);
    }
    world.elect();
    world.run(200);
    world.lost = 0.1;
    world.late = 0.1;
    for (int i = 0; i < 40; i++) {
      world.submit("j" + i, PlanWorld.step(3, 1_000), PlanWorld.step(2, 1_500, 0));
      world.submit("l" + i, PlanWorld.lasting(2, 500, 1));
      world.run(150);
      world.call(new JobCall.Cancel("l" + i / 2, PlanWorld.QUEUE));
      if (i % 10 == 9) {
        world.get("w" + i / 10).crash();
        world.server("w" + i / 10, 6_000);
      }
      check(plan(world));
    }
    world.elect();
    world.run(2_000);
    check(plan(world));
  }
}
