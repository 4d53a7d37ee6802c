package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertWithMessage;

import dev.toucanstall.core.job.JobAnswer;
import dev.toucanstall.core.job.JobSpec;
import dev.toucanstall.core.job.StepSpec;
import java.util.List;
import java.util.Objects;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests several entry instances under stops, and over links that lose replies. */
final class NodeSimulationTest {

  private static final ProcessingTime PROCESSING_TIME = new ProcessingTime(500, 2_300);

  /**
   * Requests that were sent within this time before the end of the process aren't counted, in
   * milliseconds.
   */
  private static final long IGNORED_BEFORE_END_MS = 200;

  private static final int SEED_COUNT = Integer.getInteger("random.runs", 25);
  private static final long FIRST_SEED = Long.getLong("random.seed", 1);
  private static final long SLOW_STORE_LATENCY_MS = 400;
  private static final int INSTANCES = 8;
  private static final int SERVER_COUNT = 24;

  private static NodeSimulation simulation(long seed, ProcessingTime processingTime) {
    NodeSimulation sim = new NodeSimulation(seed);
    sim.processingTime = processingTime;
    sim.platform.weight = 10_000;
    IntStream.range(0, SERVER_COUNT).forEach(i -> sim.platform.addServer("w" + i, 60_000));
    IntStream.range(0, INSTANCES).forEach(i -> sim.startInstance(i == 0 ? 0.75 : 0.36));
    sim.run(2_000);
    return sim;
  }

  /**
   * Submits a job to an entry instance at regular intervals over one open connection, until a time
   * or the end of the process.
   */
  private static void submitPeriodically(
      NodeSimulation sim, SimulatedInstance instance, long intervalMs, long endMs) {
    if (instance.terminated || sim.nowMs() >= endMs) {
      return;
    }
    String job = "%016x".formatted(sim.clients.requests.size() + 1L);
    StepSpec step = PlanSimulation.step(2, 1_000);
    sim.clients.submit(
        instance, PlanSimulation.QUEUE, job, new JobSpec("text", List.of(step), 1, 0, 0));
    sim.after(intervalMs, () -> submitPeriodically(sim, instance, intervalMs, endMs));
  }

  /** Returns the requests that a stopping process has read and not answered. */
  private static List<String> unansweredRequests(NodeSimulation sim) {
    return sim.clients.attempts().stream()
        .filter(
            attempt ->
                attempt.wasRead
                    && attempt.instance.stopping
                    && attempt.outcome == SimulatedClients.Outcome.CONNECTION_LOST)
        .filter(attempt -> attempt.endedMs - attempt.sentMs > IGNORED_BEFORE_END_MS)
        .map(
            attempt ->
                "%s at %s sent %d ms before"
                    .formatted(
                        attempt.request.job(),
                        attempt.instance.name,
                        attempt.endedMs - attempt.sentMs))
        .toList();
  }

  /**
   * Restarts all entry instances one after the other while clients submit jobs.
   *
   * @param sim the simulation
   * @param gapMs time between two stops, in milliseconds
   * @param intervalMs time between two submissions at each entry instance, in milliseconds
   */
  private static void rollingRestart(NodeSimulation sim, long gapMs, long intervalMs) {
    long endMs = sim.nowMs() + INSTANCES * gapMs + NodeSimulation.GRACE_PERIOD_MS;
    sim.runningInstances().forEach(i -> submitPeriodically(sim, i, intervalMs, endMs));
    sim.forEachWithDelay(
        gapMs,
        instance -> {
          instance.stop(NodeSimulation.GRACE_PERIOD_MS);
          sim.after(
              NodeSimulation.GRACE_PERIOD_MS + 500,
              () -> submitPeriodically(sim, sim.restartInstance(instance), intervalMs, endMs));
        });
    sim.run(endMs - sim.nowMs() + 5_000);
  }

  /** Guards against requests that a process has read and leaves unanswered when it stops. */
  @Test
  void stoppingProcessAnswersRequestsItHasRead() {
    NodeSimulation sim = simulation(1, ProcessingTime.NONE);
    sim.platform.storeDelayMs = SLOW_STORE_LATENCY_MS;
    rollingRestart(sim, 2_000, 900);
    assertWithMessage("unanswered requests").that(unansweredRequests(sim)).isEmpty();
    assertWithMessage("violated invariants").that(sim.platform.violations).isEmpty();
  }

  /**
   * Guards against a process that never ends by itself while clients use their open connections.
   */
  @Test
  void stoppingProcessUnderSteadyRequestsAnswersThoseItHasRead() {
    NodeSimulation sim = simulation(1, ProcessingTime.NONE);
    sim.platform.storeDelayMs = SLOW_STORE_LATENCY_MS;
    rollingRestart(sim, 2_000, 50);
    assertWithMessage("unanswered requests").that(unansweredRequests(sim)).isEmpty();
    assertWithMessage("violated invariants").that(sim.platform.violations).isEmpty();
  }

  /**
   * Guards against requests that are left unanswered when events wait and clients use their open
   * connections.
   */
  @Test
  void stoppingProcessUnderLoadAnswersRequestsItHasRead() {
    for (long seed = 1; seed <= 3; seed++) {
      NodeSimulation sim = simulation(seed, PROCESSING_TIME);
      rollingRestart(sim, 1_000, 20);
      assertWithMessage("unanswered requests, seed %s", seed)
          .that(unansweredRequests(sim))
          .isEmpty();
      assertWithMessage("violated invariants").that(sim.platform.violations).isEmpty();
    }
  }

  /**
   * Guards against refused jobs that run: the planner is cut off for about the time after which
   * links to it end, calls are sent to it a second time, and the first copies arrive later.
   */
  @Test
  void jobsRefusedAroundShortPartitionOfPlannerNeverRun() {
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; seed++) {
      NodeSimulation sim = simulation(seed, ProcessingTime.NONE);
      sim.clients.maxAttempts = 1;
      sim.runningInstances().forEach(i -> submitPeriodically(sim, i, 30, sim.nowMs() + 9_000));
      for (int i = 0; i < 3; i++) {
        SimulatedInstance planner = Objects.requireNonNull(sim.planner());
        planner.partitioned = true;
        sim.run(900 + sim.random.nextInt(300));
        planner.partitioned = false;
        sim.run(2_000);
      }
      sim.run(8_000);
      NodeRandomTest.assertRefusedJobsNeverRan(sim, seed);
      assertWithMessage("violated invariants, seed %s", seed)
          .that(sim.platform.violations)
          .isEmpty();
    }
  }

  /**
   * Submits jobs for some seconds while a fifth of the replies between entry instances is dropped;
   * returns the distinct answers.
   */
  private static List<JobAnswer> answersUnderReplyLoss(long seed) {
    NodeSimulation sim = simulation(seed, ProcessingTime.NONE);
    sim.replyLossRate = 0.2;
    sim.runningInstances().forEach(i -> submitPeriodically(sim, i, 100, sim.nowMs() + 4_000));
    sim.run(10_000);
    assertWithMessage("messages dropped").that(sim.droppedMessages).isGreaterThan(0L);
    return sim.clients.attempts().stream().map(a -> a.answer).distinct().toList();
  }

  /**
   * Guards against requests that end as uncertain because one reply was dropped on an open
   * connection.
   */
  @Test
  void replyDroppedOnOpenConnectionIsRequestedAgain() {
    assertWithMessage("answers")
        .that(answersUnderReplyLoss(1))
        .containsExactly(new JobAnswer.Accepted());
  }

  /** Guards against the same with replies that are dropped in other orders. */
  @Test
  void repliesDroppedInAnyOrderAreDelivered() {
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; seed++) {
      assertWithMessage("answers, seed %s", seed)
          .that(answersUnderReplyLoss(seed))
          .containsExactly(new JobAnswer.Accepted());
    }
  }
}
