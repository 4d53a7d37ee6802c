package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Tests a backend server that starts again soon after a start was sent to it twice. */
final class RestartAfterRepeatedStartTest {

  /** Time for which a backend server is up before, in milliseconds. */
  private static final long UPTIME_MS = 20_000;

  /** Time in which a start that had no answer is sent again and confirmed, in milliseconds. */
  private static final long RESENT_MS = 2_500;

  /** Time in which a planner learns of a restart, reads the lists and starts the task again. */
  private static final long STARTED_AGAIN_MS = 3_000;

  private final PlanSimulation sim = new PlanSimulation(1);

  /**
   * Guards against a long wait for a copy of the start that the later incarnation refuses, as it
   * has seen its own token.
   */
  @Test
  void taskStartsAgainOnceLaterIncarnationHasAnswered() {
    sim.taskMs = 60_000;
    sim.addServer("w1", 10_000);
    sim.electPlanner();
    sim.run(UPTIME_MS);
    sim.holdsBack = order -> order instanceof PlanEffect.Start;
    sim.submit("j", PlanSimulation.step(1, 1_000));
    sim.runUntil(() -> !sim.heldBack.isEmpty());
    sim.holdsBack = order -> false;
    sim.run(RESENT_MS);
    assertThat(sim.requireServer("w1").running).hasSize(1);
    final SimulatedServer later = sim.restart("w1");
    sim.run(STARTED_AGAIN_MS);
    sim.deliverHeldBack();
    sim.run(STARTED_AGAIN_MS);
    assertThat(sim.violations).isEmpty();
    assertThat(later.running).hasSize(1);
  }
}
