package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Tests orders to a later incarnation of a backend server of which the planner never learns,
 * because it is cut off before its entry or its lists are read.
 */
final class UnknownIncarnationTest {

  /** Time that a backend server is up before its later incarnation starts, in milliseconds. */
  private static final long UPTIME_MS = 20_000;

  private final PlanSimulation sim = new PlanSimulation(1);

  /** Has a later incarnation of "w1" carry out a start that was meant for the earlier one. */
  private SimulatedServer startOnLaterIncarnation() {
    sim.addServer("w1", 10_000);
    sim.electPlanner();
    sim.run(UPTIME_MS);
    sim.submit("j", PlanSimulation.lastingStep(1, 1_000, 0));
    while (sim.effects.stream().noneMatch(e -> e instanceof PlanEffect.Start)) {
      sim.run(1);
    }
    sim.requireServer("w1").crash();
    SimulatedServer later = sim.restartServer(sim.requireServer("w1"));
    while (later.running.isEmpty()) {
      sim.run(1);
    }
    return later;
  }

  /**
   * Guards against two runs of a task at once: the deadline of the start is on the clock of the
   * earlier incarnation, so the later one grants the longest lease, and is then cut off.
   */
  @Test
  void leaseOfStartOnUnknownIncarnationIsAwaited() {
    SimulatedServer later = startOnLaterIncarnation();
    later.reachable = false;
    SimulatedServer other = sim.addServer("w2", 10_000);
    sim.run(13_000);
    assertThat(sim.violations).isEmpty();
    assertThat(other.running).hasSize(1);
  }
}
