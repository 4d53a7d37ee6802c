package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.sun.management.ThreadMXBean;
import dev.toucanstall.core.job.JobAnswer;
import dev.toucanstall.core.job.JobCall;
import dev.toucanstall.core.job.JobRecord;
import dev.toucanstall.core.job.JobSpec;
import dev.toucanstall.core.job.StepSpec;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Tests that what has been accepted fits the memory of any planner. */
final class JobMemoryTest {

  private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

  private static final int MAX_STEPS = 64;

  private static final int OCCURRENCES = 300;

  /** Text of a job, as large as one may be. */
  private static final String TEXT = "x".repeat(4_000);

  private final PlanSimulation sim = new PlanSimulation(1);

  private Plan electPlanner() {
    sim.addServer("w1", 10_000);
    sim.electPlanner();
    sim.run(200);
    return Objects.requireNonNull(sim.planner).plan;
  }

  private static JobSpec spec(int steps, int tasks, int occurrences, long startAtMs) {
    StepSpec step = PlanSimulation.step(tasks, 1_000_000);
    return new JobSpec(TEXT, Collections.nCopies(steps, step), occurrences, startAtMs, 1);
  }

  /** Returns the bytes that a job allocates until its due tasks are about to be placed. */
  private long allocatedBytes(Plan plan, String id, JobSpec spec) {
    JobRecord.Submitted submitted =
        new JobRecord.Submitted(
            id, PlanSimulation.QUEUE, PlanSimulation.SERVICE, PlanSimulation.ACCOUNT, 1, spec);
    long before = THREADS.getCurrentThreadAllocatedBytes();
    Job job = new Job(plan, submitted);
    job.createDue(sim.now().wallMs());
    for (Occurrence occurrence : job.occurrences()) {
      occurrence.steps.forEach(s -> s.require(0));
    }
    return THREADS.getCurrentThreadAllocatedBytes() - before;
  }

  /** Guards against a bound that counts less than jobs take. */
  @Test
  void countedBytesBoundAllocatedBytes() {
    Plan plan = electPlanner();
    List<JobSpec> specs =
        List.of(
            spec(1, 1, 1, 0),
            spec(2, 8, 1, 0),
            spec(MAX_STEPS, 1, 1, 0),
            spec(1, 20_000, 1, 0),
            spec(1, 1, OCCURRENCES, 1),
            spec(1, 1, 20_000, 1),
            spec(MAX_STEPS, 1, OCCURRENCES, 1));
    specs.forEach(spec -> allocatedBytes(plan, "warm-up", spec));
    for (JobSpec spec : specs) {
      assertWithMessage(
              "%s steps, %s tasks, %s occurrences",
              spec.steps().size(), spec.steps().getFirst().count(), spec.occurrences())
          .that(allocatedBytes(plan, "j", spec))
          .isAtMost(JobMemory.bytesOf(spec));
    }
  }

  /**
   * Guards against a planner that accepts jobs until its memory is used up: one that doesn't fit is
   * refused at once and stored nowhere, and others are accepted again once there is room.
   */
  @Test
  void jobThatDoesNotFitIsRefusedAndLeavesNoTrace() {
    final Plan plan = electPlanner();
    JobSpec large = spec(MAX_STEPS, 1, OCCURRENCES, Long.MAX_VALUE / 2);
    List<String> accepted = new ArrayList<>();
    JobAnswer last = new JobAnswer.Accepted();
    while (last instanceof JobAnswer.Accepted && accepted.size() < 1_000) {
      String id = "j" + accepted.size();
      final long call = sim.submit(id, large);
      sim.run(50);
      last = sim.answers.getOrDefault(call, new JobAnswer.Uncertain());
      accepted.add(id);
    }
    String refused = accepted.removeLast();
    assertThat(last)
        .isEqualTo(new JobAnswer.Refused(JobAnswer.Reason.OVERLOADED, CallRules.RETRY_AFTER_MS));
    assertThat(sim.stored.keySet().stream().noneMatch(key -> key.endsWith(refused))).isTrue();
    assertThat(plan.jobMemory.usedBytes()).isAtMost(JobMemory.MAX_BYTES);
    assertThat(accepted.size()).isAtLeast(10);
    sim.call(new JobCall.Cancel(accepted.getFirst(), PlanSimulation.QUEUE));
    sim.run(200);
    final long retry = sim.submit(refused, large);
    sim.run(50);
    assertThat(sim.answers.get(retry)).isEqualTo(new JobAnswer.Accepted());
  }

  /** Guards against a next planner that accepts more, as it doesn't count what it has restored. */
  @Test
  void restoredJobsCount() {
    final Plan plan = electPlanner();
    sim.submit("j", spec(2, 8, OCCURRENCES, Long.MAX_VALUE / 2));
    sim.submit("k", spec(1, 1, 1, Long.MAX_VALUE / 2));
    sim.run(100);
    sim.call(new JobCall.Cancel("k", PlanSimulation.QUEUE));
    sim.run(100);
    final long before = plan.jobMemory.usedBytes();
    assertThat(before)
        .isEqualTo(
            JobMemory.JOB_BYTES + JobMemory.bytesOf(spec(2, 8, OCCURRENCES, Long.MAX_VALUE / 2)));
    sim.losePlanner();
    sim.electPlanner();
    assertThat(Objects.requireNonNull(sim.planner).plan.jobMemory.usedBytes()).isEqualTo(before);
  }

  /**
   * Guards against entry instances that are started with less memory than the jobs may take: half
   * of the heap is for calls, messages and records.
   */
  @Test
  void boundIsHalfOfTheHeapOfTheDeployFile() throws IOException {
    String deployFile = Files.readString(Path.of("..", "deploy", "system.toml"));
    Matcher heap = Pattern.compile(" -Xmx(\\d+)m ").matcher(deployFile);
    assertThat(heap.find()).isTrue();
    assertThat(JobMemory.MAX_BYTES * 2).isEqualTo(Long.parseLong(heap.group(1)) << 20);
  }
}
