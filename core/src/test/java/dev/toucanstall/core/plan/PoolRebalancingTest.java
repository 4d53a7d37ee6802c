package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import dev.toucanstall.core.job.JobAnswer;
import dev.toucanstall.core.job.JobCall;
import dev.toucanstall.core.job.JobPhase;
import dev.toucanstall.core.job.JobSpec;
import dev.toucanstall.core.job.Resources;
import java.util.List;
import java.util.Objects;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Each test is named for the pattern of load that it brings about. */
final class PoolRebalancingTest {

  /** A pool of two machines of ten cores and six that are switched off. */
  private static PlanWorld world(long seed) {
    PlanWorld world = new PlanWorld(seed);
    world.taskMs = 500;
    world.weight = 20;
    Stream.of("w1", "w2").forEach(id -> world.server(id, 10_000));
    Stream.of("t1", "t2").forEach(id -> world.server(id, PlanWorld.OTHER_SERVICE, 10_000));
    IntStream.range(0, 6).forEach(i -> world.standby.add("m-off" + i));
    world.elect();
    world.run(2_500);
    return world;
  }

  /** Ten jobs a second of ten core-seconds each, five times what the pool holds. */
  private static void surge(PlanWorld world, String name) {
    for (int i = 0; i < 40; i++) {
      world.submit(name + i, PlanWorld.step(20, 1_000));
      world.run(100);
    }
  }

  private static long pool(PlanWorld world) {
    return world.servers.values().stream()
        .filter(s -> s.up && s.service.equals(PlanWorld.SERVICE))
        .count();
  }

  @Test
  void queueThatSurgesGetsMachinesThatAreSwitchedOff() {
    PlanWorld world = world(1);
    surge(world, "j");
    assertThat(pool(world)).isAtLeast(6L);
    world.run(3_500);
    // Twenty cores alone would take 20 s for 400 core seconds.
    long last = world.call(new JobCall.Show("j39", PlanWorld.QUEUE));
    world.run(100);
    assertThat(world.answers.get(last)).isEqualTo(new JobAnswer.Shown(JobPhase.COMPLETED));
    assertThat(world.broken).isEmpty();
  }

  @Test
  void machinesGoBackWhenTheSurgeIsOver() {
    PlanWorld world = world(1);
    surge(world, "j");
    world.run(10_000);
    assertThat(pool(world)).isAtMost(3L);
    assertThat(world.standby).isNotEmpty();
    assertThat(world.broken).isEmpty();
  }

  /** A pool of six machines, whose queue has been used a little, and six that are switched off. */
  private static PlanWorld calmPoolOfSix() {
    PlanWorld world = world(1);
    Stream.of("w3", "w4", "w5", "w6").forEach(id -> world.server(id, 10_000));
    world.submit("first", PlanWorld.step(1, 1_000));
    return world;
  }

  /** Guards against a surge that finds its machines switched off and waits for them. */
  @Test
  void poolKeepsItsMachinesBetweenSurges() {
    PlanWorld world = calmPoolOfSix();
    world.run(15_000);
    assertThat(world.moves).isEmpty();
    assertThat(pool(world)).isEqualTo(6);
  }

  /** Guards against machines that stay on for good after the last surge. */
  @Test
  void poolWithoutSurgesGivesItsMachinesBackInTheEnd() {
    PlanWorld world = calmPoolOfSix();
    world.run(45_000);
    assertThat(pool(world)).isAtMost(3L);
  }

  /** Guards against a pool robbed of its machines shortly before its own surge. */
  @Test
  void surgeTakesMachinesThatAreOffBeforeThoseOfOtherPools() {
    PlanWorld world = world(1);
    Stream.of("t3", "t4", "t5", "t6")
        .forEach(id -> world.server(id, PlanWorld.OTHER_SERVICE, 10_000));
    world.run(1_000);
    surge(world, "j");
    assertThat(pool(world)).isAtLeast(6L);
    assertThat(world.moves.stream().limit(6).map(PlanEffect.Move::machine))
        .containsNoneOf("m-t1", "m-t2", "m-t3", "m-t4", "m-t5", "m-t6");
  }

  @Test
  void calmQueueMovesNothing() {
    PlanWorld world = world(1);
    for (int i = 0; i < 20; i++) {
      world.submit("j" + i, PlanWorld.step(2, 1_000));
      world.run(500);
    }
    assertThat(world.moves).isEmpty();
  }

  @Test
  void accountAtItsQuotaGetsNoMachines() {
    PlanWorld world = new PlanWorld(1);
    world.quota = new Resources(4_000, 0, 0);
    Stream.of("w1", "w2").forEach(id -> world.server(id, 10_000));
    world.standby.add("m-off");
    world.elect();
    world.run(2_500);
    IntStream.range(0, 3).forEach(i -> world.submit("j" + i, PlanWorld.step(4, 1_000)));
    world.run(3_000);
    assertThat(world.moves.stream().map(PlanEffect.Move::service))
        .doesNotContain(PlanWorld.SERVICE);
  }

  @Test
  void scatteredLastingStepKeepsItsMachines() {
    PlanWorld world = new PlanWorld(1);
    List<String> ids = IntStream.range(0, 5).mapToObj(i -> "w" + i).toList();
    ids.forEach(id -> world.server(id, 10_000));
    world.elect();
    world.run(500);
    world.submit("j", PlanWorld.lasting(4, 100, 1));
    world.run(20_000);
    assertThat(pool(world)).isAtLeast(4L);
    assertThat(world.broken).isEmpty();
  }

  @Test
  void orderWithoutAnswerLeavesTheMachineUnused() {
    for (long seed = 1; seed <= 20; seed++) {
      PlanWorld world = world(seed);
      surge(world, "a");
      world.lost = 0.3;
      world.run(4_000);
      surge(world, "b");
      world.lost = 0;
      world.run(20_000);
      assertThat(world.broken).isEmpty();
    }
  }

  @Test
  void backlogOfOutageGetsMachinesOncePlannerStands() {
    PlanWorld world = world(1);
    Objects.requireNonNull(world.planner).alive = false;
    world.run(1_000);
    world.elect();
    for (int i = 0; i < 20; i++) {
      world.submit("j" + i, PlanWorld.step(20, 1_000));
    }
    world.run(400);
    assertThat(world.moves).isNotEmpty();
  }

  // Guards against a list of machines that is older than a move and has the machine moved again.
  @Test
  void moveEndsNoTaskWhenTheListOfMachinesComesLate() {
    for (long seed = 1; seed <= 2; seed++) {
      PlanWorld world = world(seed);
      IntStream.range(6, 40).forEach(i -> world.standby.add("m-off" + i));
      world.listMs = 1_000;
      swell(world, PlanWorld.QUEUE, "j");
      swell(world, "r", "k");
      assertWithMessage("seed %s", seed).that(world.broken).isEmpty();
    }
  }

  /** More and more jobs, so that machines are ordered while others are on their way. */
  private static void swell(PlanWorld world, String queue, String name) {
    JobSpec spec = new JobSpec("text", List.of(PlanWorld.step(20, 1_000)), 1, 0, 0);
    for (int i = 0; i < 40; i++) {
      for (int n = 0; n <= i / 5; n++) {
        String job = name + i + "-" + n;
        world.call(new JobCall.Submit(job, queue, PlanWorld.ACCOUNT, spec));
      }
      world.run(100);
    }
  }
}
