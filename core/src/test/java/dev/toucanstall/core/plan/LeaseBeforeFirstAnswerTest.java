package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests a renewal for a former incarnation that a later one carries out seconds late, just before
 * it sees its first fencing token. Runs that are started there afterwards inherit the longest
 * lease, which counts from then on, however long the later incarnation has been known.
 */
final class LeaseBeforeFirstAnswerTest {

  /** Time that a backend server is up before its later incarnation starts, in milliseconds. */
  private static final long UPTIME_MS = 20_000;

  /** Time in which a short run ends and its end is acknowledged, in milliseconds. */
  private static final long RENEWED_MS = 2_500;

  /** Time for which the planner can't reach the later incarnation, in milliseconds. */
  private static final long UNREACHED_MS = 3_000;

  /** Time from the loss of a planner to the election of the next one, in milliseconds. */
  private static final long ELECTED_AFTER_MS = 600;

  /** Length of a term in which the planner can't reach the later incarnation, in milliseconds. */
  private static final long SHORT_TERM_MS = 6_000;

  /** Length of a cut, in milliseconds. */
  private static final long CUT_MS = 9_500;

  /** Time in which all leases of any planner expire, in milliseconds. */
  private static final long ALL_LEASES_MS = 14_000;

  private final PlanSimulation sim = new PlanSimulation(1);

  /** Has a renewal with a lease held back on its way to "w1", and "w1" idle afterwards. */
  private List<PlanEffect> holdBackRenewal() {
    sim.taskMs = 1_000;
    sim.addServer("w1", 10_000);
    sim.electPlanner();
    sim.run(UPTIME_MS);
    sim.submit("short", PlanSimulation.step(1, 1_000));
    sim.run(300);
    sim.holdsBack = PlanSimulation::givesLease;
    sim.runUntil(() -> !sim.heldBack.isEmpty());
    sim.holdsBack = order -> false;
    final List<PlanEffect> renewals = List.copyOf(sim.heldBack);
    sim.heldBack.clear();
    sim.run(RENEWED_MS);
    assertThat(sim.requireServer("w1").running).isEmpty();
    return renewals;
  }

  /**
   * Has the renewal carried out once the planner has long known the later incarnation, has a task
   * started there and cuts it off; asserts that the task has one run at a time.
   */
  private void assertLateRenewalIsAwaited(
      SimulatedServer later, List<PlanEffect> renewals, long unreachedMs) {
    sim.holdsBack = order -> order instanceof PlanEffect.Hold;
    sim.run(unreachedMs);
    sim.heldBack.clear();
    sim.heldBack.addAll(renewals);
    sim.deliverOnItsWay();
    sim.holdsBack = order -> false;
    sim.taskMs = 60_000;
    sim.submit("long", PlanSimulation.step(1, 1_000));
    sim.runUntil(() -> !later.running.isEmpty());
    sim.run(50);
    later.reachable = false;
    later.reachesStore = false;
    final SimulatedServer other = sim.addServer("w2", 10_000);
    sim.run(CUT_MS);
    later.reachable = true;
    sim.run(ALL_LEASES_MS);
    assertThat(sim.violations).isEmpty();
    assertThat(later.running.size() + other.running.size()).isEqualTo(1);
  }

  /** Guards against two runs of a task at once within one term. */
  @Test
  void leaseOfLateRenewalBeforeFirstAnswerIsAwaited() {
    final List<PlanEffect> renewals = holdBackRenewal();
    sim.holdsBack = order -> order instanceof PlanEffect.Hold;
    final SimulatedServer later = sim.restart("w1");
    assertLateRenewalIsAwaited(later, renewals, UNREACHED_MS);
  }

  /** Guards against the same after an election, where no record names the idle backend server. */
  @Test
  void leaseOfLateRenewalAfterListingIsAwaitedByNextPlanner() {
    final List<PlanEffect> renewals = holdBackRenewal();
    final SimulatedServer later = sim.restart("w1");
    final long confirmedMs = sim.now().steadyMs();
    sim.losePlanner();
    sim.run(ELECTED_AFTER_MS);
    sim.holdsBack = order -> order instanceof PlanEffect.Hold;
    sim.electNextPlanner(confirmedMs);
    assertLateRenewalIsAwaited(later, renewals, UNREACHED_MS);
  }

  /**
   * Guards against the same after two elections in a row: the first of the next planners has listed
   * the later incarnation and never reached it.
   */
  @Test
  void leaseOfLateRenewalIsAwaitedAfterTwoElections() {
    final List<PlanEffect> renewals = holdBackRenewal();
    final SimulatedServer later = sim.restart("w1");
    final long confirmedMs = sim.now().steadyMs();
    sim.losePlanner();
    sim.run(ELECTED_AFTER_MS);
    sim.holdsBack = order -> order instanceof PlanEffect.Hold;
    sim.electNextPlanner(confirmedMs);
    sim.run(SHORT_TERM_MS);
    final long confirmedLaterMs = sim.now().steadyMs();
    sim.losePlanner();
    sim.run(ELECTED_AFTER_MS);
    sim.electNextPlanner(confirmedLaterMs);
    assertLateRenewalIsAwaited(later, renewals, 0);
  }
}
