package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Tests a planner whose renewal a restarted backend server has answered, and which doesn't know
 * that its predecessor's orders for the former incarnation have given the longest lease there.
 */
final class LeaseCapAfterRestartTest {

  /** Time that a backend server is up before its later incarnation starts, in milliseconds. */
  private static final long UPTIME_MS = 20_000;

  /** Time in which a planner learns of a later incarnation, in milliseconds. */
  private static final long NOTICED_AFTER_MS = 400;

  /** Time from a submission to the next election, in milliseconds. */
  private static final long ELECTED_AFTER_MS = 200;

  /** Time in which the next planner's renewals are answered before the cut, in milliseconds. */
  private static final long ANSWERED_FOR_MS = 300;

  /** Time in which all leases of any planner expire, in milliseconds. */
  private static final long ALL_LEASES_MS = 13_000;

  private final PlanSimulation sim = new PlanSimulation(1);

  /**
   * Guards against two runs of a task at once: a later incarnation carries out a start on the clock
   * of the former one, which prolongs whatever runs there. It answers the next planner, which takes
   * its own leases for the longest, and is then cut off.
   */
  @Test
  void plannerThatWasAnsweredAwaitsLeaseOnFormerClock() {
    sim.addServer("w1", 10_000);
    sim.electPlanner();
    sim.run(UPTIME_MS);
    sim.submit("k", PlanSimulation.step(1, 1_000));
    while (sim.effects.stream().noneMatch(e -> e instanceof PlanEffect.Start)) {
      sim.run(1);
    }
    final SimulatedServer later = sim.restart("w1");
    sim.runUntil(() -> !later.running.isEmpty());
    sim.run(NOTICED_AFTER_MS);
    sim.submit("j", PlanSimulation.lastingStep(1, 1_000, 0));
    sim.run(ELECTED_AFTER_MS);
    sim.electPlanner();
    sim.run(ANSWERED_FOR_MS);
    later.reachable = false;
    final SimulatedServer other = sim.addServer("w2", 10_000);
    sim.run(ALL_LEASES_MS);
    assertThat(sim.violations).isEmpty();
    assertThat(other.running).hasSize(1);
  }
}
