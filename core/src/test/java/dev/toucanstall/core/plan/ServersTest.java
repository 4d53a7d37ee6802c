package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Objects;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Tests {@link Servers}: the cost of a placement pass must not grow with the number of backend
 * servers.
 */
final class ServersTest {

  private static final int SERVER_COUNT = 250;

  /**
   * Most backend servers that may be examined: a few for each event that concerns one, of which
   * there are about 30.
   */
  private static final long MAX_EXAMINED = 120;

  private static Plan plan(PlanSimulation sim) {
    return Objects.requireNonNull(sim.planner).plan;
  }

  /**
   * Returns a planner of many backend servers whose periodic passes over all of them are switched
   * off, so that only events cause examinations.
   */
  private static PlanSimulation manyServers() {
    PlanSimulation sim = new PlanSimulation(1);
    IntStream.range(0, SERVER_COUNT).forEach(i -> sim.addServer("w" + i, 10_000));
    sim.electPlanner();
    plan(sim).moves.nextRebalanceMs = Long.MAX_VALUE;
    sim.run(2_000);
    sim.submit("lasting", PlanSimulation.lastingStep(4, 1_000, 1));
    sim.run(1_000);
    plan(sim).nextSweepMs = Long.MAX_VALUE;
    return sim;
  }

  /** Guards against calls that expire because each placement pass examines every backend server. */
  @Test
  void passesBetweenEventsOfFewServersDoNotExamineAll() {
    PlanSimulation sim = manyServers();
    final long passes = plan(sim).passes;
    final long examined = plan(sim).serversExamined();
    sim.submit("short", PlanSimulation.step(4, 1_000), PlanSimulation.step(2, 1_000, 0));
    sim.run(450);
    assertThat(plan(sim).passes - passes).isAtLeast(20);
    assertThat(plan(sim).serversExamined() - examined).isAtMost(MAX_EXAMINED);
  }

  /** Guards against calls that expire because each waiting task examines every backend server. */
  @Test
  void waitingTaskExaminesOnlyServersThatMayBeBest() {
    PlanSimulation sim = manyServers();
    final long examined = plan(sim).serversExamined();
    sim.submit("wide", PlanSimulation.step(30, 1_000));
    sim.run(60);
    assertThat(sim.servers.values().stream().mapToInt(s -> s.running.size()).sum()).isEqualTo(34);
    assertThat(plan(sim).serversExamined() - examined).isAtMost(MAX_EXAMINED);
  }

  /** Guards against a restarted backend server whose lease is not renewed. */
  @Test
  void serverRestartedDuringLeaseRenewalIsRenewedAgain() {
    PlanSimulation sim = manyServers();
    SimulatedServer crashed =
        sim.servers.values().stream().filter(s -> !s.running.isEmpty()).findFirst().orElseThrow();
    crashed.crash();
    SimulatedServer restarted = sim.addServer(crashed.id, 10_000);
    sim.post(
        new PlanEvent.ServersRead(
            0, List.of(restarted.entry(sim.now().steadyMs())), List.of(), false));
    sim.run(60);
    Server server = Objects.requireNonNull(plan(sim).servers.get(crashed.id));
    assertThat(server.entry.startTimeMs()).isEqualTo(restarted.startTimeMs);
    assertThat(server.answered).isTrue();
  }
}
