package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertThat;

import dev.toucanstall.core.job.JobCall;
import org.junit.jupiter.api.Test;

/**
 * Tests a stop that a backend server has answered before it started again under its id, which the
 * later incarnation knows nothing of.
 */
final class StopBeforeRestartTest {

  /** Time that a backend server is up before its later incarnation starts, in milliseconds. */
  private static final long UPTIME_MS = 20_000;

  /** Time from a cancel to the restart, by which the stop is answered, in milliseconds. */
  private static final long STOP_ANSWERED_MS = 100;

  /** Time in which a planner learns of a later incarnation and stops its runs, in milliseconds. */
  private static final long TAKE_OVER_MS = 1_500;

  private final PlanSimulation sim = new PlanSimulation(1);

  /**
   * Guards against a cancelled task that runs on for ever: its start was on its way when the former
   * incarnation answered the stop, and the later one carries it out.
   */
  @Test
  void stopAnsweredByFormerIncarnationIsSentToLaterOne() {
    sim.addServer("w1", 10_000);
    sim.electPlanner();
    sim.run(UPTIME_MS);
    sim.holdsBack = order -> order instanceof PlanEffect.Start;
    sim.submit("j", PlanSimulation.lastingStep(1, 1_000, 0));
    sim.runUntil(() -> !sim.heldBack.isEmpty());
    sim.holdsBack = order -> false;
    sim.call(new JobCall.Cancel("j", PlanSimulation.QUEUE));
    sim.run(STOP_ANSWERED_MS);
    final SimulatedServer later = sim.restart("w1");
    sim.deliverOnItsWay();
    assertThat(later.running).hasSize(1);
    sim.run(TAKE_OVER_MS);
    assertThat(later.running).isEmpty();
  }
}
