package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertThat;

import com.sun.management.ThreadMXBean;
import dev.toucanstall.core.job.JobAnswer;
import dev.toucanstall.core.job.JobCall;
import dev.toucanstall.core.job.JobPhase;
import dev.toucanstall.core.job.JobRecord;
import dev.toucanstall.core.job.JobSpec;
import dev.toucanstall.core.job.StepSpec;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Objects;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests jobs with many occurrences or tasks: their cost grows with what is due and unfinished. */
final class LargeScheduleTest {

  private static final int OCCURRENCES = 20_000;

  private static final int JOBS = 40;

  /** Most bytes that a job with future occurrences may take. */
  private static final long MAX_JOB_BYTES = 10_000;

  private static final long INTERVAL_MS = 300_000;

  private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

  private final PlanSimulation sim = new PlanSimulation(1);

  private JobSpec scheduled(long startAtMs, long intervalMs, StepSpec... steps) {
    return new JobSpec("", List.of(steps), OCCURRENCES, startAtMs, intervalMs);
  }

  private static JobRecord.Submitted submitted(String job, JobSpec spec) {
    return new JobRecord.Submitted(
        job, PlanSimulation.QUEUE, PlanSimulation.SERVICE, PlanSimulation.ACCOUNT, 1, spec);
  }

  private Plan plan() {
    return Objects.requireNonNull(sim.planner).plan;
  }

  private void electPlannerWith(int servers, long cpu) {
    IntStream.range(0, servers).forEach(i -> sim.addServer("w" + i, cpu));
    sim.electPlanner();
    sim.run(200);
  }

  /** Returns the bytes that the current thread allocates while it runs an action. */
  private static long allocatedBytes(Runnable action) {
    long before = THREADS.getCurrentThreadAllocatedBytes();
    action.run();
    return THREADS.getCurrentThreadAllocatedBytes() - before;
  }

  /** Guards against a planner that runs out of memory over occurrences that are not due. */
  @Test
  void futureOccurrencesTakeNoMemory() {
    electPlannerWith(1, 10_000);
    JobSpec spec = scheduled(Long.MAX_VALUE / 2, INTERVAL_MS, PlanSimulation.step(1, 1_000));
    new Job(plan(), submitted("warm-up", spec));
    long bytes =
        allocatedBytes(
            () ->
                IntStream.range(0, JOBS)
                    .forEach(i -> new Job(plan(), submitted("j" + i, spec)).tasks()));
    assertThat(bytes / JOBS).isLessThan(MAX_JOB_BYTES);
  }

  /** Guards against a next planner that runs out of memory over the same records. */
  @Test
  void restoredFutureOccurrencesTakeNoMemory() {
    electPlannerWith(1, 10_000);
    JobSpec spec = scheduled(Long.MAX_VALUE / 2, INTERVAL_MS, PlanSimulation.step(1, 1_000));
    List<JobRecord> records =
        IntStream.range(0, JOBS).<JobRecord>mapToObj(i -> submitted("j" + i, spec)).toList();
    Recovery.restore(plan(), records.subList(0, 1), sim.now());
    long bytes = allocatedBytes(() -> Recovery.restore(plan(), records, sim.now()));
    assertThat(bytes / JOBS).isLessThan(MAX_JOB_BYTES);
  }

  /** Guards against tasks of a large step that take memory while they wait for capacity. */
  @Test
  void waitingTasksOfLargeStepTakeNoMemory() {
    electPlannerWith(1, 10_000);
    JobSpec spec = new JobSpec("", List.of(PlanSimulation.step(20_000, 1_000)), 1, 0, 0);
    new Job(plan(), submitted("warm-up", spec));
    long bytes = allocatedBytes(() -> new Job(plan(), submitted("j", spec)).tasks());
    assertThat(bytes).isLessThan(MAX_JOB_BYTES);
    sim.submit("k", PlanSimulation.step(20_000, 1_000));
    sim.run(2_000);
    Job job = Objects.requireNonNull(plan().jobs.get("k"));
    assertThat(job.boundTasks).isGreaterThan(0);
    assertThat(job.tasks().count()).isLessThan(50);
  }

  /**
   * Guards against a planner that is busy for seconds over the end of a job of many occurrences.
   */
  @Test
  void endOfJobTouchesCurrentTasksOnly() {
    electPlannerWith(1, 1_000);
    long startAtMs = sim.now().wallMs() - INTERVAL_MS;
    sim.submit("j", scheduled(startAtMs, 0, PlanSimulation.step(1, 1_000)));
    sim.run(500);
    Job job = Objects.requireNonNull(plan().jobs.get("j"));
    assertThat(job.tasks().count()).isLessThan(100);
    sim.call(new JobCall.Cancel("j", PlanSimulation.QUEUE));
    sim.run(1_000);
    assertThat(job.phase).isEqualTo(JobPhase.CANCELLED);
    assertThat(job.tasks().count()).isEqualTo(0);
    assertThat(sim.violations).isEmpty();
  }

  /** Guards against occurrences that are lost because only some that are due exist at a time. */
  @Test
  void allOccurrencesThatAreDueAtOnceRunOnceAcrossPlanners() {
    sim.taskMs = 100;
    electPlannerWith(4, 40_000);
    long startAtMs = sim.now().wallMs() - 1_000;
    JobSpec spec = new JobSpec("", List.of(PlanSimulation.step(2, 1_000)), 300, startAtMs, 1);
    final long submission = sim.submit("j", spec);
    sim.run(400);
    for (int i = 0; i < 3; i++) {
      Objects.requireNonNull(sim.planner).active = false;
      sim.electPlanner();
      sim.run(300);
    }
    sim.run(8_000);
    assertThat(sim.answers.get(submission)).isEqualTo(new JobAnswer.Accepted());
    final long shown = sim.call(new JobCall.Show("j", PlanSimulation.QUEUE));
    sim.run(100);
    assertThat(sim.answers.get(shown)).isEqualTo(new JobAnswer.Shown(JobPhase.COMPLETED));
    assertThat(sim.lastStartMs).hasSize(600);
    assertThat(sim.violations).isEmpty();
  }
}
