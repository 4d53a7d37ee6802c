package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertThat;

import java.util.Objects;
import org.junit.jupiter.api.Test;

/**
 * Tests the time at which a planner takes the leases of a later incarnation of a backend server for
 * expired, where a renewal for the former one is still on its way when the planner learns of it.
 */
final class LeaseBoundAfterRestartTest {

  /** Time that a backend server is up before its later incarnation starts, in milliseconds. */
  private static final long UPTIME_MS = 20_000;

  /** Interval in which the planner reads the list of backend servers, in milliseconds. */
  private static final long LIST_INTERVAL_MS = 500;

  /** Time before a read of the list at which the renewal is sent at the earliest. */
  private static final long SENT_BEFORE_MS = 25;

  private final PlanSimulation sim = new PlanSimulation(1);

  private boolean isListedSoon() {
    return sim.now().steadyMs() % LIST_INTERVAL_MS >= LIST_INTERVAL_MS - SENT_BEFORE_MS;
  }

  /**
   * Guards against two runs of a task at once: a renewal for the former incarnation arrives after
   * the planner has learned of the later one and counted its longest lease from then.
   */
  @Test
  void renewalOnItsWayToFormerIncarnationIsAwaited() {
    sim.addServer("w1", 10_000);
    sim.electPlanner();
    sim.submit("j", PlanSimulation.lastingStep(1, 1_000, 0));
    sim.run(UPTIME_MS);
    sim.holdsBack = order -> order instanceof PlanEffect.Hold && isListedSoon();
    sim.runUntil(() -> !sim.heldBack.isEmpty());
    final long sentMs = sim.now().steadyMs();
    final SimulatedServer later = sim.restart("w1");
    final Plan plan = Objects.requireNonNull(sim.planner).plan;
    sim.holdsBack = order -> order instanceof PlanEffect.Hold;
    sim.run(PlanSimulation.LATE_MS);
    assertThat(sim.now().steadyMs() - sentMs).isAtMost(PlanSimulation.LATE_MS);
    Server known = Objects.requireNonNull(plan.servers.get("w1"));
    assertThat(known.entry.startTimeMs()).isEqualTo(later.startTimeMs);
    sim.heldBack.subList(1, sim.heldBack.size()).clear();
    sim.deliverOnItsWay();
    assertThat(known.leases.expiredMs()).isAtLeast(later.leaseExpiryMs);
  }
}
