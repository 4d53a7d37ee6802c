package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertThat;

import dev.toucanstall.core.job.JobRecord;
import dev.toucanstall.core.job.TaskPhase;
import org.junit.jupiter.api.Test;

/**
 * Tests for how long a lasting task in its first run is without one once its backend server and the
 * planner are lost at the same time, where the records name more than a start that was answered.
 */
final class LastingTaskAfterTwoLossesTest {

  /** Time for which a backend server is up, and a run at work, before the loss, in milliseconds. */
  private static final long UPTIME_MS = 20_000;

  /** Time from the loss of a planner to the election of the next one, in milliseconds. */
  private static final long ELECTED_AFTER_MS = 600;

  /** Longest time for which a lasting task that has served may be without a run after a loss. */
  private static final long MAX_OUTAGE_MS = 11_000;

  private final PlanSimulation sim = new PlanSimulation(1);

  /** Loses the planner and "w1" for good, and asserts that the task is back in time. */
  private void assertBackInTime() {
    final long confirmedMs = sim.now().steadyMs();
    sim.losePlanner();
    SimulatedServer lost = sim.requireServer("w1");
    assertThat(lost.running).hasSize(1);
    lost.crash();
    lost.reachable = false;
    lost.reachesStore = false;
    final SimulatedServer other = sim.addServer("w2", 10_000);
    sim.run(ELECTED_AFTER_MS);
    sim.electNextPlanner(confirmedMs);
    sim.run(MAX_OUTAGE_MS - ELECTED_AFTER_MS);
    assertThat(sim.violations).isEmpty();
    assertThat(other.running).hasSize(1);
  }

  /** Guards against a long wait for a copy of the start that was sent long ago. */
  @Test
  void taskWhoseStartWasSentTwiceIsBackInTime() {
    sim.addServer("w1", 10_000);
    sim.electPlanner();
    sim.run(UPTIME_MS);
    sim.holdsBack = order -> order instanceof PlanEffect.Start;
    sim.submit("j", PlanSimulation.lastingStep(1, 1_000, 0));
    sim.runUntil(() -> !sim.heldBack.isEmpty());
    sim.holdsBack = order -> false;
    sim.run(UPTIME_MS);
    assertBackInTime();
  }

  /** Guards against a long wait for the start of a run that was being stopped. */
  @Test
  void taskThatWasBeingEvacuatedIsBackInTime() {
    sim.addServer("w1", 10_000);
    sim.electPlanner();
    sim.submit("j", PlanSimulation.lastingStep(1, 1_000, 0));
    sim.run(UPTIME_MS);
    sim.addServer("w3", 10_000);
    sim.run(1_000);
    sim.holdsBack = order -> order instanceof PlanEffect.Stop;
    sim.requireServer("w1").draining = true;
    sim.runUntil(this::isStopStored);
    sim.requireServer("w3").leave();
    sim.holdsBack = order -> false;
    assertBackInTime();
  }

  private boolean isStopStored() {
    return sim.records().stream()
        .filter(JobRecord.Progress.class::isInstance)
        .map(JobRecord.Progress.class::cast)
        .flatMap(progress -> progress.tasks().stream())
        .anyMatch(task -> task.phase() == TaskPhase.STOPPING);
  }
}
