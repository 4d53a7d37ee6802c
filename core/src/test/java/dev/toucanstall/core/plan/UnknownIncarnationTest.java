package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertThat;

import dev.toucanstall.core.lease.LeaseBound;
import org.junit.jupiter.api.Test;

/**
 * Tests orders to a later incarnation of a backend server of which the planner never learns,
 * because it is cut off before its entry or its lists are read.
 */
final class UnknownIncarnationTest {

  /** Time that a backend server is up before its later incarnation starts, in milliseconds. */
  private static final long UPTIME_MS = 20_000;

  /** Time after which a start without an answer is given up, in milliseconds. */
  private static final long START_TIMEOUT_MS = 700;

  private static final long RESTARTED_BEFORE_TIMEOUT_MS = 50;

  private static final long SERVER_LIST_INTERVAL_MS = 500;

  /** Time in which the planner learns of the later incarnation and starts the tasks there. */
  private static final long TAKE_OVER_MS = 1_200;

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
    SimulatedServer later = sim.restart("w1");
    sim.runUntil(() -> !later.running.isEmpty());
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

  /**
   * Guards against a lease on a former clock that no fault of the network brings about: a start
   * that had no answer, as the backend server was restarting, is sent again once the later
   * incarnation is up and before the planner knows of it.
   */
  @Test
  void unansweredStartIsNotSentAgainToUnknownIncarnation() {
    sim.renewalsWait = true;
    sim.addServer("w1", 10_000);
    sim.electPlanner();
    sim.submit("l", PlanSimulation.lastingStep(1, 1_000, 0));
    sim.run(UPTIME_MS);
    runUntilRenewalWaits();
    final SimulatedServer server = sim.requireServer("w1");
    server.reachable = false;
    sim.submit("j", PlanSimulation.lastingStep(1, 1_000, 0));
    sim.run(START_TIMEOUT_MS - RESTARTED_BEFORE_TIMEOUT_MS);
    server.crash();
    SimulatedServer later = sim.restartServer(server);
    long longestLeaseMs = 0;
    for (int i = 0; i < TAKE_OVER_MS; i++) {
      sim.run(1);
      longestLeaseMs = Math.max(longestLeaseMs, later.leaseExpiryMs - sim.now().steadyMs());
    }
    assertThat(later.running).hasSize(2);
    assertThat(longestLeaseMs).isAtMost(LeaseBound.LEASE_MS);
  }

  /**
   * Lets time pass until a lease renewal waits for a run to finish, and the list of backend servers
   * is not read around the timeout of a start that is sent now.
   */
  private void runUntilRenewalWaits() {
    int sent = sim.effects.size();
    while (sim.effects.subList(sent, sim.effects.size()).stream()
            .noneMatch(e -> e instanceof PlanEffect.Hold)
        || sim.now().steadyMs() % SERVER_LIST_INTERVAL_MS != 0) {
      sim.run(1);
    }
  }
}
