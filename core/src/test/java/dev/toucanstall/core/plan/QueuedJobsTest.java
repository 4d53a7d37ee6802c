package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertThat;

import dev.toucanstall.core.job.FinishedRun;
import dev.toucanstall.core.job.JobAnswer;
import dev.toucanstall.core.job.JobCall;
import dev.toucanstall.core.job.TaskKey;
import java.util.Objects;
import org.junit.jupiter.api.Test;

/** Tests the number of queued jobs, those that no backend server has begun. */
final class QueuedJobsTest {

  /** Age that the number may have, in milliseconds. */
  private static final long MAX_AGE_MS = 2_000;

  private static final TaskKey TASK = new TaskKey("j", 0, 0, 0);

  /** Returns a planner with one backend server. */
  private static PlanSimulation oneServer() {
    PlanSimulation sim = new PlanSimulation(1);
    sim.taskMs = 60_000;
    sim.addServer("w1", 10_000);
    sim.electPlanner();
    sim.run(500);
    return sim;
  }

  private static int queuedJobs(PlanSimulation sim) {
    long call = sim.call(new JobCall.Count(PlanSimulation.QUEUE));
    sim.run(20);
    return ((JobAnswer.Counted) Objects.requireNonNull(sim.answers.get(call))).jobs();
  }

  /** Guards against a job that is not counted although its backend server never began it. */
  @Test
  void jobOrderedToSilentServerIsQueued() {
    PlanSimulation sim = oneServer();
    sim.requireServer("w1").crash();
    sim.requireServer("w1").reachable = false;
    sim.submit("j", PlanSimulation.step(1, 1_000));
    for (int i = 0; i < 30; i++) {
      sim.run(500);
      assertThat(queuedJobs(sim)).isEqualTo(1);
    }
    sim.addServer("w2", 10_000);
    sim.run(10_000);
    assertThat(sim.requireServer("w2").running).containsKey(TASK);
    assertThat(queuedJobs(sim)).isEqualTo(0);
  }

  /**
   * Guards against a job that counts as queued for the planner that follows the one it began under.
   */
  @Test
  void runningJobIsNotQueuedForNextPlanner() {
    PlanSimulation sim = oneServer();
    sim.submit("j", PlanSimulation.step(1, 1_000));
    sim.run(500);
    assertThat(queuedJobs(sim)).isEqualTo(0);
    sim.electPlanner();
    sim.run(MAX_AGE_MS);
    assertThat(queuedJobs(sim)).isEqualTo(0);
  }

  /**
   * Guards against a job that counts as queued again once its run has failed or its server is lost.
   */
  @Test
  void jobWhoseRunHasEndedIsNotQueuedAgain() {
    PlanSimulation sim = oneServer();
    sim.submit("j", PlanSimulation.step(1, 1_000));
    sim.run(500);
    SimulatedServer server = sim.requireServer("w1");
    server.draining = true;
    sim.run(1_000);
    server.finish(TASK, FinishedRun.Outcome.FAILED, sim.now().steadyMs());
    sim.run(MAX_AGE_MS);
    assertThat(server.running).isEmpty();
    assertThat(queuedJobs(sim)).isEqualTo(0);
    sim.electPlanner();
    assertThat(queuedJobs(sim)).isEqualTo(0);
  }
}
