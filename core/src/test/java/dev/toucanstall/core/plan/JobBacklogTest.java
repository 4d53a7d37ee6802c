package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import dev.toucanstall.core.job.JobCall;
import dev.toucanstall.core.job.JobSpec;
import dev.toucanstall.core.job.StepSpec;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that the counters of {@link JobBacklog} agree with the tasks that they count. */
final class JobBacklogTest {

  private static final int ROUNDS = 120;

  private static final long ROUND_MS = 50;

  private PlanSimulation sim = new PlanSimulation(0);

  private Plan plan() {
    return Objects.requireNonNull(sim.planner).plan;
  }

  /** Returns two independent steps, one after both, and a last one. */
  private List<StepSpec> steps() {
    return List.of(
        PlanSimulation.step(1 + sim.random.nextInt(3), 2_000),
        PlanSimulation.step(2, 3_000),
        PlanSimulation.step(1 + sim.random.nextInt(4), 1_000, 0, 1),
        PlanSimulation.step(1, 4_000, 2));
  }

  private void submit(String id) {
    long dueMs = sim.now().wallMs() + sim.random.nextInt(400) - 200;
    int occurrences = 1 + sim.random.nextInt(20);
    sim.submit(id, new JobSpec("", steps(), occurrences, dueMs, sim.random.nextInt(60)));
  }

  /** Counts bound and startable tasks by step, from the tasks themselves. */
  private static Map<Integer, List<Integer>> counted(Job job) {
    Map<Integer, List<Integer>> byStep = new TreeMap<>();
    for (Occurrence occurrence : job.occurrences()) {
      for (StepTasks step : occurrence.steps) {
        boolean ready =
            step.spec.after().stream().allMatch(p -> occurrence.steps.get(p).counts.done());
        int startable = ready ? step.counts.waiting() : 0;
        if (step.counts.bound() + startable > 0) {
          byStep.merge(
              step.number,
              List.of(step.counts.bound(), startable),
              (a, b) -> List.of(a.get(0) + b.get(0), a.get(1) + b.get(1)));
        }
      }
    }
    return byStep;
  }

  private void assertCountersAgree() {
    for (Job job : plan().jobs.values()) {
      Map<Integer, List<Integer>> shown = new TreeMap<>();
      job.backlog.steps().forEach(s -> shown.put(s.number, List.of(s.bound(), s.startable())));
      assertWithMessage("bound and startable tasks of %s", job.id)
          .that(shown)
          .isEqualTo(counted(job));
      int waiting =
          job.occurrences().stream()
              .flatMap(k -> k.steps.stream())
              .mapToInt(s -> s.counts.waiting())
              .sum();
      assertWithMessage("waiting tasks of %s", job.id).that(job.waitingTasks()).isEqualTo(waiting);
    }
  }

  /**
   * Guards against tasks that never start, or are counted as demand for ever, because a counter
   * missed a change: jobs come and are cancelled while planners and backend servers are lost.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void countersAgreeWithTasksAcrossLosses(long seed) {
    sim = new PlanSimulation(seed);
    for (int i = 0; i < 4; i++) {
      sim.addServer("w" + i, 10_000);
    }
    sim.electPlanner();
    for (int round = 0; round < ROUNDS; round++) {
      sim.run(ROUND_MS);
      assertCountersAgree();
      if (round % 5 == 0) {
        submit("j" + round);
      }
      if (round % 17 == 0) {
        sim.call(new JobCall.Cancel("j" + sim.random.nextInt(round + 1), PlanSimulation.QUEUE));
      }
      if (round % 23 == 0) {
        sim.restart("w" + sim.random.nextInt(4));
      }
      if (round % 41 == 40) {
        sim.losePlanner();
        sim.electPlanner();
      }
    }
    sim.run(60_000);
    assertCountersAgree();
    assertThat(sim.violations).isEmpty();
    assertThat(plan().openJobs()).isEqualTo(0);
  }
}
