package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertThat;

import com.sun.management.ThreadMXBean;
import dev.toucanstall.core.job.JobAnswer;
import dev.toucanstall.core.job.JobSpec;
import dev.toucanstall.core.job.Resources;
import dev.toucanstall.core.job.StepSpec;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Objects;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Tests what waiting tasks cost while nothing is free for them. The cost is counted in bytes that
 * are allocated, which is the same on each machine.
 */
final class BacklogCostTest {

  /** Greatest ratio of the costs of two passes that differ only in how much waits. */
  private static final double MAX_RATIO = 1.5;

  private static final int ROUNDS = 20;

  /** Memory of a backend server, as {@link PlanSimulation} has it; a task needs all of it. */
  private static final long SERVER_MEMORY = 1_000_000;

  private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

  private static StepSpec wholeServerStep(int count) {
    Resources need = new Resources(1_000, SERVER_MEMORY, 0);
    return new StepSpec(
        count, need, 300, List.of(), false, false, false, "", "", 0, false, false, "", 0, false, 0);
  }

  /** Returns a planner all of whose backend servers are full, and jobs that are due and wait. */
  private static PlanSimulation backlog(int jobs, int steps, int tasksPerStep, int occurrences) {
    PlanSimulation sim = new PlanSimulation(1);
    sim.taskMs = 600_000;
    IntStream.range(0, 6).forEach(i -> sim.addServer("w" + i, 10_000));
    sim.electPlanner();
    sim.run(200);
    sim.submit("first", wholeServerStep(6));
    sim.run(200);
    List<StepSpec> specs =
        IntStream.range(0, steps).mapToObj(s -> wholeServerStep(tasksPerStep)).toList();
    long dueMs = sim.now().wallMs() - 1_000;
    for (int j = 0; j < jobs; j++) {
      long call = sim.submit("j" + j, new JobSpec("", specs, occurrences, dueMs, 0));
      sim.run(200);
      assertThat(sim.answers.get(call)).isEqualTo(new JobAnswer.Accepted());
    }
    assertThat(sim.violations).isEmpty();
    return sim;
  }

  /** Returns the bytes that a pass over all queues and a look at the demand allocate. */
  private static long costOfPass(PlanSimulation sim) {
    Plan plan = Objects.requireNonNull(sim.planner).plan;
    Runnable pass =
        () -> {
          plan.servicesToPlace.add(PlanSimulation.SERVICE);
          Placement.place(plan, sim.now());
          Demand.of(plan, PlanSimulation.SERVICE, sim.now());
          plan.load();
        };
    IntStream.range(0, ROUNDS).forEach(i -> pass.run());
    long before = THREADS.getCurrentThreadAllocatedBytes();
    IntStream.range(0, ROUNDS).forEach(i -> pass.run());
    return (THREADS.getCurrentThreadAllocatedBytes() - before) / ROUNDS;
  }

  /**
   * Guards against a control thread that is busy for so long over tasks without capacity that calls
   * for accepted jobs time out.
   */
  @Test
  void passCostsTheSameOver10And1000And100000WaitingTasks() {
    long few = costOfPass(backlog(10, 1, 1, 1));
    assertThat((double) costOfPass(backlog(10, 1, 10, 10)) / few).isLessThan(MAX_RATIO);
    assertThat((double) costOfPass(backlog(10, 1, 100, 100)) / few).isLessThan(MAX_RATIO);
  }

  /** Guards against the same for jobs whose occurrences have many steps that may start at once. */
  @Test
  void passOverStepsCostsTheSameForAllOccurrencesThatAreDue() {
    long one = costOfPass(backlog(18, 64, 1, 1));
    assertThat((double) costOfPass(backlog(18, 64, 1, 300)) / one).isLessThan(MAX_RATIO);
  }

  /**
   * Guards against tasks of later occurrences that are passed over: those of the first wait for
   * capacity, and a smaller step follows.
   */
  @Test
  void smallStepOfLaterOccurrenceIsPlacedPastLargeOne() {
    PlanSimulation sim = new PlanSimulation(1);
    sim.taskMs = 600_000;
    sim.addServer("w1", 10_000);
    sim.electPlanner();
    sim.run(200);
    long dueMs = sim.now().wallMs() - 1_000;
    List<StepSpec> steps = List.of(PlanSimulation.step(1, 9_000), PlanSimulation.step(1, 500));
    sim.submit("j", new JobSpec("", steps, 10, dueMs, 0));
    sim.run(500);
    assertThat(sim.activeRuns).hasSize(3);
    assertThat(sim.violations).isEmpty();
  }
}
