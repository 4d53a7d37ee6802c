package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Tests a start that is on its way to a backend server while the planner changes and the backend
 * server starts again under its id.
 */
final class StartOnItsWayTest {

  /** Time that a backend server is up before its later incarnation starts, in milliseconds. */
  private static final long UPTIME_MS = 20_000;

  /** Time from a restart to the entry of the later incarnation, in milliseconds. */
  private static final long UNLISTED_MS = 2_000;

  private final PlanSimulation sim = new PlanSimulation(1);

  /**
   * Guards against two runs of a task at once: the next planner's list from the former incarnation
   * lacks a run whose start is on its way, and the later incarnation, which has seen no token,
   * carries the start out.
   */
  @Test
  void startOfPredecessorOnItsWayIsNotTakenForAbsent() {
    sim.addServer("w1", 10_000);
    sim.electPlanner();
    sim.run(UPTIME_MS);
    sim.holdsBack = order -> order instanceof PlanEffect.Start;
    sim.submit("j", PlanSimulation.lastingStep(1, 1_000, 0));
    sim.runUntil(() -> !sim.heldBack.isEmpty());
    final long sentMs = sim.now().steadyMs();
    sim.holdsBack = order -> false;
    sim.requireServer("w1").draining = true;
    final SimulatedServer other = sim.addServer("w2", 10_000);
    sim.electPlanner();
    while (other.running.isEmpty() && sim.now().steadyMs() < sentMs + PlanSimulation.LATE_MS) {
      sim.run(1);
    }
    final SimulatedServer later = sim.restart("w1");
    later.reachesStore = false;
    later.lastReportMs = 0;
    assertThat(sim.now().steadyMs() - sentMs).isAtMost(PlanSimulation.LATE_MS);
    sim.deliverOnItsWay();
    sim.run(UNLISTED_MS);
    later.reachesStore = true;
    sim.run(UPTIME_MS);
    assertThat(sim.violations).isEmpty();
    assertThat(other.running).hasSize(1);
  }
}
