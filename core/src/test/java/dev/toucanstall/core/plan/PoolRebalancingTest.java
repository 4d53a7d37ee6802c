package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import dev.toucanstall.core.job.JobAnswer;
import dev.toucanstall.core.job.JobCall;
import dev.toucanstall.core.job.JobPhase;
import dev.toucanstall.core.job.JobSpec;
import dev.toucanstall.core.job.Resources;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Tests {@link PoolRebalancing}. The name of each test says which load it simulates. */
final class PoolRebalancingTest {

  /**
   * Returns two pools of two machines of ten cores each, and six machines that are switched off.
   */
  private static PlanSimulation twoPools(long seed) {
    PlanSimulation sim = new PlanSimulation(seed);
    sim.taskMs = 500;
    sim.weight = 20;
    Stream.of("w1", "w2").forEach(id -> sim.addServer(id, 10_000));
    Stream.of("t1", "t2").forEach(id -> sim.addServer(id, PlanSimulation.OTHER_SERVICE, 10_000));
    IntStream.range(0, 6).forEach(i -> sim.standbyMachines.add("m-off" + i));
    sim.run(PlanSimulation.LONG_UPTIME_MS);
    sim.electPlanner();
    sim.run(2_500);
    return sim;
  }

  /**
   * Submits ten jobs of ten core-seconds each a second for four seconds, five times the capacity of
   * the pool.
   */
  private static void submitSurge(PlanSimulation sim, String name) {
    for (int i = 0; i < 40; i++) {
      sim.submit(name + i, PlanSimulation.step(20, 1_000));
      sim.run(100);
    }
  }

  private static long poolSize(PlanSimulation sim) {
    return sim.servers.values().stream()
        .filter(s -> s.up && s.service.equals(PlanSimulation.SERVICE))
        .count();
  }

  @Test
  void surgingQueueGetsStandbyMachines() {
    PlanSimulation sim = twoPools(1);
    submitSurge(sim, "j");
    assertThat(poolSize(sim)).isAtLeast(6L);
    sim.run(3_500);
    // Twenty cores alone would take 20 s for 400 core seconds.
    long last = sim.call(new JobCall.Show("j39", PlanSimulation.QUEUE));
    sim.run(100);
    assertThat(sim.answers.get(last)).isEqualTo(new JobAnswer.Shown(JobPhase.COMPLETED));
    assertThat(sim.violations).isEmpty();
  }

  @Test
  void machinesReturnAfterSurge() {
    PlanSimulation sim = twoPools(1);
    submitSurge(sim, "j");
    sim.run(10_000);
    assertThat(poolSize(sim)).isAtMost(3L);
    assertThat(sim.standbyMachines).isNotEmpty();
    assertThat(sim.violations).isEmpty();
  }

  /**
   * Returns a pool of six machines, whose queue has had one short job, and six machines that are
   * switched off.
   */
  private static PlanSimulation lightlyUsedPoolOfSix() {
    PlanSimulation sim = twoPools(1);
    Stream.of("w3", "w4", "w5", "w6").forEach(id -> sim.addServer(id, 10_000));
    sim.submit("first", PlanSimulation.step(1, 1_000));
    return sim;
  }

  /**
   * Guards against a surge that must wait for its machines because they were switched off after the
   * last one.
   */
  @Test
  void poolRetainsMachinesBetweenSurges() {
    PlanSimulation sim = lightlyUsedPoolOfSix();
    sim.run(15_000);
    assertThat(sim.moveOrders).isEmpty();
    assertThat(poolSize(sim)).isEqualTo(6);
  }

  /** Guards against machines that stay on for good after the last surge. */
  @Test
  void poolWithoutSurgesReturnsMachinesEventually() {
    PlanSimulation sim = lightlyUsedPoolOfSix();
    sim.run(45_000);
    assertThat(poolSize(sim)).isAtMost(3L);
  }

  /** Guards against a pool that loses its machines to another one shortly before its own surge. */
  @Test
  void surgeTakesStandbyMachinesBeforeThoseOfOtherPools() {
    PlanSimulation sim = twoPools(1);
    Stream.of("t3", "t4", "t5", "t6")
        .forEach(id -> sim.addServer(id, PlanSimulation.OTHER_SERVICE, 10_000));
    sim.run(1_000);
    submitSurge(sim, "j");
    assertThat(poolSize(sim)).isAtLeast(6L);
    assertThat(sim.moveOrders.stream().limit(6).map(PlanEffect.Move::machine))
        .containsNoneOf("m-t1", "m-t2", "m-t3", "m-t4", "m-t5", "m-t6");
  }

  @Test
  void lightLoadMovesNoMachine() {
    PlanSimulation sim = twoPools(1);
    for (int i = 0; i < 20; i++) {
      sim.submit("j" + i, PlanSimulation.step(2, 1_000));
      sim.run(500);
    }
    assertThat(sim.moveOrders).isEmpty();
  }

  @Test
  void accountAtItsQuotaGetsNoMachines() {
    PlanSimulation sim = new PlanSimulation(1);
    sim.quota = new Resources(4_000, 0, 0);
    Stream.of("w1", "w2").forEach(id -> sim.addServer(id, 10_000));
    sim.standbyMachines.add("m-off");
    sim.electPlanner();
    sim.run(2_500);
    IntStream.range(0, 3).forEach(i -> sim.submit("j" + i, PlanSimulation.step(4, 1_000)));
    sim.run(3_000);
    assertThat(sim.moveOrders.stream().map(PlanEffect.Move::service))
        .doesNotContain(PlanSimulation.SERVICE);
  }

  @Test
  void scatteredLastingStepRetainsMachines() {
    PlanSimulation sim = new PlanSimulation(1);
    List<String> ids = IntStream.range(0, 5).mapToObj(i -> "w" + i).toList();
    ids.forEach(id -> sim.addServer(id, 10_000));
    sim.electPlanner();
    sim.run(500);
    sim.submit("j", PlanSimulation.lastingStep(4, 100, 1));
    sim.run(20_000);
    assertThat(poolSize(sim)).isAtLeast(4L);
    assertThat(sim.violations).isEmpty();
  }

  @Test
  void unansweredMoveLeavesMachineUnused() {
    for (long seed = 1; seed <= 20; seed++) {
      PlanSimulation sim = twoPools(seed);
      submitSurge(sim, "a");
      sim.answerLossRate = 0.3;
      sim.run(4_000);
      submitSurge(sim, "b");
      sim.answerLossRate = 0;
      sim.run(20_000);
      assertThat(sim.violations).isEmpty();
    }
  }

  @Test
  void backlogOfOutageGetsMachinesOncePlannerIsElected() {
    PlanSimulation sim = twoPools(1);
    Objects.requireNonNull(sim.planner).active = false;
    sim.run(1_000);
    sim.electPlanner();
    for (int i = 0; i < 20; i++) {
      sim.submit("j" + i, PlanSimulation.step(20, 1_000));
    }
    sim.run(400);
    assertThat(sim.moveOrders).isNotEmpty();
  }

  /**
   * Guards against a second move of a machine because of a list of machines that is older than the
   * first move.
   */
  @Test
  void moveEndsNoTaskWhenMachineListIsDelayed() {
    for (long seed = 1; seed <= 2; seed++) {
      PlanSimulation sim = twoPools(seed);
      IntStream.range(6, 40).forEach(i -> sim.standbyMachines.add("m-off" + i));
      sim.machineListDelayMs = 1_000;
      submitGrowingLoad(sim, PlanSimulation.QUEUE, "j");
      submitGrowingLoad(sim, "r", "k");
      assertWithMessage("seed %s", seed).that(sim.violations).isEmpty();
    }
  }

  /** Submits more and more jobs, so that machines are ordered while others are being moved. */
  private static void submitGrowingLoad(PlanSimulation sim, String queue, String name) {
    JobSpec spec = new JobSpec("text", List.of(PlanSimulation.step(20, 1_000)), 1, 0, 0);
    for (int i = 0; i < 40; i++) {
      for (int n = 0; n <= i / 5; n++) {
        String job = name + i + "-" + n;
        sim.call(new JobCall.Submit(job, queue, PlanSimulation.ACCOUNT, spec));
      }
      sim.run(100);
    }
  }

  /**
   * Guards against two planners that take turns at a machine: one that stood still repeats its
   * unanswered order after its successor has sent one.
   */
  @Test
  void nextPlannerRepeatsMoveOnceLastOneMayNot() {
    for (long seed = 1; seed <= 20; seed++) {
      PlanSimulation sim = twoPools(seed);
      sim.dropsMoves = true;
      while (sim.moveOrders.isEmpty()) {
        sim.submit("j" + sim.now().steadyMs(), PlanSimulation.step(20, 1_000));
        sim.run(100);
      }
      sim.run(1_550);
      PlanSimulation.Planner first = Objects.requireNonNull(sim.planner);
      first.keepBusy(1_900);
      sim.run(1_700);
      sim.electPlanner();
      final int sentBefore = sim.moveOrders.size();
      for (int i = 0; i < 100; i++) {
        sim.run(10);
        first.handle(new PlanEvent.Tick());
      }
      assertWithMessage("orders of the planner that stood still, seed %s", seed)
          .that(sim.moveOrders.stream().skip(sentBefore).map(PlanEffect.Move::fencingToken))
          .contains(first.plan.epoch);
      sim.run(5_000);
      sim.dropsMoves = false;
      sim.run(15_000);
      assertWithMessage("seed %s", seed).that(tokensAscendByMachine(sim)).isTrue();
      assertWithMessage("seed %s", seed).that(poolSize(sim)).isGreaterThan(2L);
      assertWithMessage("seed %s", seed).that(sim.violations).isEmpty();
    }
  }

  /** Returns whether no machine was ordered with a lower fencing token after a higher one. */
  private static boolean tokensAscendByMachine(PlanSimulation sim) {
    Map<String, Long> highest = new HashMap<>();
    return sim.moveOrders.stream()
        .allMatch(o -> highest.merge(o.machine(), o.fencingToken(), Math::max) == o.fencingToken());
  }

  /** Guards against a surge that waits for its machines because the planner has changed. */
  @Test
  void nextPlannerOrdersOtherMachinesAtOnce() {
    PlanSimulation sim = twoPools(1);
    sim.dropsMoves = true;
    sim.submit("first", PlanSimulation.step(20, 1_000), PlanSimulation.step(20, 1_000));
    while (sim.moveOrders.isEmpty()) {
      sim.submit("j" + sim.now().steadyMs(), PlanSimulation.step(20, 1_000));
      sim.run(100);
    }
    Objects.requireNonNull(sim.planner).active = false;
    final List<String> ordered = sim.moveOrders.stream().map(PlanEffect.Move::machine).toList();
    final int sentBefore = sim.moveOrders.size();
    sim.electPlanner();
    for (int i = 0; i < 10; i++) {
      sim.submit("k" + i, PlanSimulation.step(20, 1_000));
    }
    sim.run(400);
    assertThat(sim.moveOrders.stream().skip(sentBefore).map(PlanEffect.Move::machine)).isNotEmpty();
    assertThat(sim.moveOrders.stream().skip(sentBefore).map(PlanEffect.Move::machine))
        .containsNoneIn(ordered);
  }
}
