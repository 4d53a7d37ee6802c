package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertWithMessage;

import dev.toucanstall.core.job.WaveOrder;
import java.util.List;
import java.util.Objects;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Checks that lasting tasks stay available while machines are emptied, moved or fail. */
final class LastingTaskAvailabilityTest {

  private static final int MAX_UNAVAILABLE = 4;
  private static final int RACKS = 4;
  private static final int SERVERS_PER_RACK = 4;

  /**
   * Longest time that a lasting task may be without a run while there is free capacity, in
   * milliseconds.
   */
  private static final long MAX_OUTAGE_MS = 3_000;

  /**
   * Longest time that leases can bind a task to a backend server that has failed, in milliseconds.
   */
  private static final long MAX_LEASE_MS = 6_000;

  /**
   * Returns twelve backend servers that run a lasting step of 24 tasks, of which four may be
   * unavailable.
   */
  private static PlanSimulation twelveServers(long seed) {
    PlanSimulation sim = new PlanSimulation(seed);
    sim.renewalsWait = true;
    sim.availability.lapsesCountAsStops = true;
    IntStream.range(0, 12).forEach(i -> sim.addServer("w" + i, 10_000));
    sim.electPlanner();
    sim.run(500);
    sim.submit("j", PlanSimulation.lastingStep(24, 1_000, 2, MAX_UNAVAILABLE));
    sim.run(5_000);
    return sim;
  }

  /** Orders the maintenance of six machines. */
  private static void orderWave(PlanSimulation sim) {
    List<String> machines = IntStream.range(0, 6).mapToObj(i -> "m-w" + i).toList();
    sim.post(new PlanEvent.WaveOrdered(new WaveOrder(1, machines, 20_000, sim.maxMaintained)));
  }

  /**
   * Guards against more unavailable lasting tasks than the limit of their step in a wave without
   * faults.
   */
  @Test
  void waveWithoutFaultsKeepsLastingTasksAvailable() {
    PlanSimulation sim = twelveServers(1);
    orderWave(sim);
    sim.run(20_000);
    assertWithMessage("violated invariants").that(sim.violations).isEmpty();
    assertWithMessage("machines").that(sim.maintainedMachines).hasSize(6);
  }

  /**
   * Guards against stops of lasting tasks that count others as available though their leases have
   * lapsed while the planner was busy.
   */
  @Test
  void waveCountsTasksWhoseLeasesLapsedWhilePlannerWasBusy() {
    for (long busyMs = 4_500; busyMs <= 7_500; busyMs += 250) {
      PlanSimulation sim = twelveServers(busyMs);
      Objects.requireNonNull(sim.planner).keepBusy(busyMs);
      orderWave(sim);
      sim.run(busyMs + 15_000);
      assertWithMessage("busy for %s ms", busyMs).that(sim.violations).isEmpty();
    }
  }

  /**
   * Returns sixteen backend servers on racks of four, eight machines that are switched off, and a
   * running lasting and a running filling step.
   */
  private static PlanSimulation sixteenServersOnRacks(long seed) {
    PlanSimulation sim = new PlanSimulation(seed);
    sim.renewalsWait = true;
    sim.weight = 1_000;
    IntStream.range(0, RACKS * SERVERS_PER_RACK).forEach(i -> sim.addServer("w" + i, 10_000));
    IntStream.range(0, 8).forEach(i -> sim.standbyMachines.add("m-off" + i));
    sim.electPlanner();
    sim.run(500);
    sim.submit("serves", PlanSimulation.lastingStep(8, 1_000, 2, 2));
    sim.submit("fills", PlanSimulation.fillingStep(8, 1_000));
    sim.run(3_000);
    return sim;
  }

  /** Submits jobs in every second interval of four seconds, so that machines move. */
  private static void submitIntermittently(PlanSimulation sim, long durationMs) {
    for (long elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 100) {
      if (elapsedMs / 4_000 % 2 == 0) {
        sim.submit("j" + sim.now().steadyMs(), PlanSimulation.step(12, 1_000));
      }
      sim.run(100);
    }
  }

  private static void assertAvailable(PlanSimulation sim, long seed, long maxOutageMs) {
    assertWithMessage("longest time without a run, seed %s", seed)
        .that(sim.availability.longestOutageMs(sim.now().steadyMs()))
        .isAtMost(maxOutageMs);
    assertWithMessage("violated invariants, seed %s", seed).that(sim.violations).isEmpty();
  }

  /**
   * Guards against lasting tasks that stay without a run, and so are lost to their users, while
   * machines are moved and maintained.
   */
  @Test
  void lastingTaskRestartsSoonWhileMachinesMove() {
    for (long seed = 1; seed <= 5; seed++) {
      PlanSimulation sim = sixteenServersOnRacks(seed);
      orderWave(sim);
      submitIntermittently(sim, 20_000);
      assertAvailable(sim, seed, MAX_OUTAGE_MS);
    }
  }

  /**
   * Guards against lasting tasks that stay without a run, and so are lost to their users, once
   * their backend server has lost its power or its network.
   */
  @Test
  void lastingTaskRestartsElsewhereAfterRackFailure() {
    for (long seed = 1; seed <= 10; seed++) {
      PlanSimulation sim = sixteenServersOnRacks(seed);
      for (int fault = 0; fault < 4; fault++) {
        boolean losesPower = sim.random.nextBoolean();
        failRack(sim, sim.random.nextInt(RACKS), losesPower, 1_000 + sim.random.nextInt(9_000));
        submitIntermittently(sim, 14_000);
      }
      assertAvailable(sim, seed, MAX_LEASE_MS + MAX_OUTAGE_MS);
    }
  }

  /**
   * Lets a rack lose its network, and its power too if {@code losesPower}, and restores it after a
   * time.
   */
  private static void failRack(PlanSimulation sim, int rack, boolean losesPower, long durationMs) {
    List<SimulatedServer> affected =
        IntStream.range(rack * SERVERS_PER_RACK, (rack + 1) * SERVERS_PER_RACK)
            .mapToObj(i -> sim.servers.get("w" + i))
            .filter(s -> s != null && s.up)
            .toList();
    for (SimulatedServer server : affected) {
      server.reachable = false;
      if (losesPower) {
        server.crash();
      }
      sim.after(durationMs, () -> restore(sim, server, losesPower));
    }
  }

  /**
   * Restores a backend server; starts it again if it lost its power and its machine has not moved.
   */
  private static void restore(PlanSimulation sim, SimulatedServer server, boolean lostPower) {
    server.reachable = true;
    if (lostPower && sim.servers.get(server.id) == server) {
      sim.restartServer(server);
    }
  }
}
