package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Tests leases that a later incarnation of a backend server has granted on orders for a former one,
 * and of which the planner has lost its knowledge or has never gained it.
 */
final class LeaseOfForgottenServerTest {

  /** Time that a backend server is up before its later incarnation starts, in milliseconds. */
  private static final long UPTIME_MS = 20_000;

  /** Time from the loss of a planner to the election of the next one, in milliseconds. */
  private static final long ELECTED_AFTER_MS = 600;

  /** Time in which a planner reads the list of servers and their lists, in milliseconds. */
  private static final long LISTS_READ_MS = 700;

  /** Time in which a short run ends and its end is acknowledged, in milliseconds. */
  private static final long RENEWED_MS = 2_500;

  /** Number of sends after which a start without an answer is given up. */
  private static final int MAX_SENDS = 3;

  /** Length of a cut, in milliseconds. */
  private static final long CUT_MS = 9_000;

  /** Time in which all leases of any planner expire, in milliseconds. */
  private static final long ALL_LEASES_MS = 14_000;

  private final PlanSimulation sim = new PlanSimulation(1);

  private void cutOff(SimulatedServer server) {
    server.reachable = false;
    server.reachesStore = false;
  }

  /**
   * Guards against two runs of a task at once: a renewal for a former incarnation gives the longest
   * lease, the planner has stored that and forgets it as the entry of the idle backend server is
   * deleted, and the next planner takes the backend server for one that never started again.
   */
  @Test
  void leaseOfServerWhoseEntryWasDeletedIsAwaitedByNextPlanner() {
    sim.taskMs = 1_000;
    sim.addServer("w1", 10_000);
    sim.electPlanner();
    sim.run(UPTIME_MS);
    sim.submit("short", PlanSimulation.step(1, 1_000));
    sim.run(300);
    sim.holdsBack = PlanSimulation::givesLease;
    sim.runUntil(() -> !sim.heldBack.isEmpty());
    sim.holdsBack = order -> false;
    sim.run(RENEWED_MS);
    assertThat(sim.requireServer("w1").running).isEmpty();
    final SimulatedServer later = sim.restart("w1");
    sim.deliverOnItsWay();
    sim.run(LISTS_READ_MS);
    later.reachesStore = false;
    later.lastReportMs = 0;
    sim.run(LISTS_READ_MS);
    final long confirmedMs = sim.now().steadyMs();
    sim.losePlanner();
    later.reachesStore = true;
    sim.run(ELECTED_AFTER_MS);
    sim.electNextPlanner(confirmedMs);
    sim.taskMs = 60_000;
    sim.submit("long", PlanSimulation.step(1, 1_000));
    sim.runUntil(() -> !later.running.isEmpty());
    sim.run(50);
    cutOff(later);
    sim.assertOneRunAfterCut(CUT_MS, later, sim.addServer("w2", 10_000));
  }

  /**
   * Has a start to "w1" given up that had no answer, and carried out by a later incarnation that
   * has seen no token; asserts that the task has one run at a time.
   *
   * @param sends number of sends of the start before its backend server begins to drain
   */
  private void assertGivenUpStartIsNotCarriedOut(int sends) {
    sim.taskMs = 60_000;
    sim.addServer("w1", 10_000);
    sim.electPlanner();
    sim.run(UPTIME_MS);
    sim.holdsBack = order -> order instanceof PlanEffect.Start;
    sim.submit("j", PlanSimulation.step(1, 1_000));
    final SimulatedServer other = sim.addServer("w2", 10_000);
    sim.runUntil(() -> sim.heldBack.size() == sends);
    sim.holdsBack = order -> false;
    sim.requireServer("w1").draining = true;
    sim.run(RENEWED_MS);
    final SimulatedServer later = sim.restart("w1");
    sim.deliverOnItsWay();
    sim.run(ALL_LEASES_MS);
    assertThat(sim.violations).isEmpty();
    assertThat(later.running.size() + other.running.size()).isEqualTo(1);
  }

  /**
   * Guards against two runs of a task at once: a start had no answer, its run was given up once the
   * stop was answered, and a later incarnation carries the start out before it has seen a token.
   */
  @Test
  void startOfRunThatWasGivenUpIsNotCarriedOutByLaterIncarnation() {
    assertGivenUpStartIsNotCarriedOut(MAX_SENDS);
  }

  /**
   * Guards against the same for a start that was sent once: its backend server begins to drain
   * before it is sent again.
   */
  @Test
  void startThatWasGivenUpAtDrainIsNotCarriedOutByLaterIncarnation() {
    assertGivenUpStartIsNotCarriedOut(1);
  }
}
