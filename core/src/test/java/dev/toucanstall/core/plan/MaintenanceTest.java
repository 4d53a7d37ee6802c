package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import dev.toucanstall.core.job.JobRecord;
import dev.toucanstall.core.job.RecordSize;
import dev.toucanstall.core.plan.MaintenanceSimulation.Handling;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests {@link Maintenance} with orders that are lost or carried out late. */
final class MaintenanceTest {

  private static final String[] MACHINES = {"m-w1", "m-w2", "m-w3"};

  private static MaintenanceSimulation sixServers(long seed) {
    return new MaintenanceSimulation(seed, "w1", "w2", "w3", "w4", "w5", "w6");
  }

  /** Returns a wave whose first order has been sent and is handled in a given way. */
  private static MaintenanceSimulation waveWithFirstOrder(long seed, Handling handling) {
    MaintenanceSimulation sim = sixServers(seed);
    sim.platform = order -> sim.orders.size() == 1 ? handling : Handling.ANSWERED;
    sim.orderWave(MACHINES);
    sim.sim.run(100);
    assertThat(sim.orders).hasSize(1);
    return sim;
  }

  private static void assertWaveCompletes(MaintenanceSimulation sim, long seed) {
    assertWithMessage("seed %s", seed).that(sim.violations).isEmpty();
    assertWithMessage("seed %s", seed).that(sim.begun).containsExactlyElementsIn(MACHINES);
    assertWithMessage("seed %s", seed)
        .that(sim.sim.reportedWaves)
        .containsExactly(MaintenanceSimulation.WAVE, true);
    assertWithMessage("stored orders, seed %s", seed).that(sim.storedOrders()).isEmpty();
  }

  /** Checks that each machine has a backend server that the planner uses. */
  private static void assertAllMachinesInUse(MaintenanceSimulation sim, long seed) {
    for (SimulatedServer server : sim.sim.servers.values()) {
      assertWithMessage("%s, seed %s", server.id, seed).that(sim.takesTasks(server.id)).isTrue();
    }
  }

  /**
   * Guards against more machines of a wave down than its limit when an order of a planner that has
   * ended is carried out while the next planner maintains another machine.
   */
  @Test
  void lateOrderOfEndedPlannerKeepsWaveWithinItsLimit() {
    for (long seed = 1; seed <= 20; seed++) {
      MaintenanceSimulation sim = waveWithFirstOrder(seed, Handling.LATE);
      sim.elect();
      sim.runUnderLoad(30_000);
      assertWaveCompletes(sim, seed);
      assertAllMachinesInUse(sim, seed);
    }
  }

  /** Guards against a wave over its limit when several planners end one after the other. */
  @Test
  void lateOrdersOfSeveralPlannersKeepWaveWithinItsLimit() {
    for (long seed = 1; seed <= 20; seed++) {
      MaintenanceSimulation sim = sixServers(seed);
      sim.platform = order -> Handling.LATE;
      sim.orderWave(MACHINES);
      for (int i = 0; i < 4; i++) {
        sim.runUnderLoad(200 + sim.sim.random.nextInt(6) * 200);
        sim.elect();
      }
      sim.platform = order -> Handling.ANSWERED;
      sim.runUnderLoad(40_000);
      assertWaveCompletes(sim, seed);
      assertAllMachinesInUse(sim, seed);
    }
  }

  /**
   * Guards against two planners that take turns at a machine: the last one may send what it has
   * stored until its permission ends.
   */
  @Test
  void nextPlannerSendsOrderOnceLastOneMayNot() {
    MaintenanceSimulation sim = waveWithFirstOrder(1, Handling.LOST);
    sim.elect();
    sim.sim.run(PlanReducer.START_PERMISSION_MS + 400);
    assertThat(sim.orders).hasSize(1);
    sim.sim.run(20_000);
    assertWaveCompletes(sim, 1);
  }

  /** Guards against an order of which the next planner can't know. */
  @Test
  void orderIsSentOnceItsIntentIsStored() {
    MaintenanceSimulation sim = sixServers(1);
    sim.sim.storeAvailable = false;
    sim.orderWave(MACHINES);
    sim.sim.run(1_500);
    assertThat(sim.orders).isEmpty();
    sim.sim.storeAvailable = true;
    sim.sim.run(500);
    assertThat(sim.orders).hasSize(1);
    sim.sim.run(20_000);
    assertWaveCompletes(sim, 1);
  }

  /**
   * Guards against tasks that are lost because the next planner starts them on a machine that an
   * order of the last one may yet end.
   */
  @Test
  void nextPlannerUsesMachineOnceItsOrderIsAnswered() {
    MaintenanceSimulation sim = waveWithFirstOrder(1, Handling.LATE);
    String machine = sim.orders.getFirst().machine();
    sim.platform = order -> Handling.LOST;
    sim.elect();
    for (int i = 0; i < 20; i++) {
      sim.runUnderLoad(200);
      assertThat(sim.serverOn(machine).running).isEmpty();
    }
    assertThat(sim.orders.stream().map(PlanEffect.Maintain::machine).distinct())
        .containsExactly(machine);
    assertThat(sim.orders.size()).isAtLeast(2);
  }

  /**
   * Guards against a wave that is reported as completed while it is unknown whether the maintenance
   * of its last machine has begun.
   */
  @Test
  void waveWithUnansweredOrderIsNotCompleted() {
    MaintenanceSimulation sim = sixServers(1);
    sim.platform = order -> Handling.LOST;
    sim.orderWave("m-w1");
    sim.sim.run(100);
    sim.elect();
    sim.sim.run(20_000);
    assertThat(sim.sim.reportedWaves).containsExactly(MaintenanceSimulation.WAVE, false);
    sim.platform = order -> Handling.ANSWERED;
    sim.sim.run(5_000);
    assertThat(sim.sim.reportedWaves).containsExactly(MaintenanceSimulation.WAVE, true);
    assertThat(sim.begun).containsExactly("m-w1");
  }

  /**
   * Guards against a machine that stays out of use, and a wave that waits for it, after the answer
   * to its order was lost and it is in service again when the repeated order is answered.
   */
  @Test
  void machineMaintainedWithoutAnswerIsUsedAgain() {
    for (long seed = 1; seed <= 20; seed++) {
      MaintenanceSimulation sim = waveWithFirstOrder(seed, Handling.ANSWER_LOST);
      sim.sim.run(30_000);
      assertWaveCompletes(sim, seed);
      assertAllMachinesInUse(sim, seed);
    }
  }

  /** Guards against the same after a change of planners, for the last machine of a wave, too. */
  @Test
  void machineMaintainedForEndedPlannerIsUsedAgain() {
    for (long seed = 1; seed <= 20; seed++) {
      MaintenanceSimulation sim = sixServers(seed);
      sim.platform = order -> sim.orders.size() % 2 == 1 ? Handling.ANSWER_LOST : Handling.ANSWERED;
      sim.orderWave(MACHINES);
      for (int i = 0; i < 10; i++) {
        sim.sim.run(1_000 + sim.sim.random.nextInt(3_000));
        sim.elect();
      }
      sim.sim.run(30_000);
      assertWaveCompletes(sim, seed);
      assertAllMachinesInUse(sim, seed);
    }
  }

  /** Guards against a wave that never completes because a machine with an order was removed. */
  @Test
  void waveContinuesAfterMachineWithOrderIsRemoved() {
    MaintenanceSimulation sim = waveWithFirstOrder(1, Handling.LOST);
    String machine = sim.orders.getFirst().machine();
    sim.removeMachine(machine);
    sim.elect();
    sim.sim.run(40_000);
    assertThat(sim.violations).isEmpty();
    assertThat(sim.begun).hasSize(2);
    assertThat(sim.sim.reportedWaves).containsExactly(MaintenanceSimulation.WAVE, true);
    assertThat(sim.storedOrders()).isEmpty();
  }

  /** Guards against a wave that waits for a machine that was removed while it was emptied. */
  @Test
  void waveContinuesAfterMachineIsRemovedWhileEmptied() {
    MaintenanceSimulation sim = sixServers(1);
    // A task on each backend server, none of which fits on another one.
    sim.submit("j", PlanSimulation.lastingStep(6, 6_000, 1));
    sim.sim.run(1_500);
    sim.orderWave(MACHINES);
    sim.sim.run(1_000);
    assertThat(sim.orders).isEmpty();
    sim.removeMachine("m-w1");
    sim.cancel("j");
    sim.sim.run(40_000);
    assertThat(sim.violations).isEmpty();
    assertThat(sim.begun).containsExactly("m-w2", "m-w3");
    assertThat(sim.sim.reportedWaves).containsExactly(MaintenanceSimulation.WAVE, true);
  }

  /** Guards against a machine that is never used again because its wave is unknown. */
  @Test
  void machineOfUnknownWaveIsUsedOnceNoOrderCanArrive() {
    MaintenanceSimulation sim = waveWithFirstOrder(1, Handling.LOST);
    final String server = sim.serverOn(sim.orders.getFirst().machine()).id;
    sim.forgetWave();
    sim.elect();
    sim.sim.run(12_000);
    assertThat(sim.takesTasks(server)).isFalse();
    sim.sim.run(5_000);
    assertThat(sim.takesTasks(server)).isTrue();
    assertThat(sim.orders).hasSize(1);
    assertThat(sim.storedOrders()).isEmpty();
  }

  /** Guards against a planner that repeats an order whose answer is stored. */
  @Test
  void orderWithStoredAnswerIsNotRepeated() {
    MaintenanceSimulation sim = waveWithFirstOrder(1, Handling.ANSWERED);
    PlanEffect.Maintain first = sim.orders.getFirst();
    // An append that was split for its size carries the progress of the wave without the order.
    sim.sim.stored.put(
        "maintenance",
        new JobRecord.OpenMaintenance(
            List.of(new JobRecord.MachineMaintenance(first.wave(), first.machine(), "w1"))));
    sim.elect();
    sim.sim.run(20_000);
    assertWaveCompletes(sim, 1);
    assertThat(sim.orders.stream().filter(o -> o.machine().equals(first.machine()))).hasSize(1);
  }

  /** Guards against more open orders to maintain machines than their record may hold. */
  @Test
  void recordOfOpenMaintenanceIsBounded() {
    MaintenanceOrders orders = new MaintenanceOrders();
    int recordBytes = 100_000;
    while (orders.hasRoom(recordBytes)) {
      String name = "machine-" + orders.all().count();
      orders.add(new MaintenanceOrders.Order(1, name, "server-" + name));
    }
    assertThat(RecordSize.maxBytes(orders.openMaintenanceRecord())).isAtMost(recordBytes);
    assertThat(orders.all().count()).isAtLeast(200L);
  }
}
