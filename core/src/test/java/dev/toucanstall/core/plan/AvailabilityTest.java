package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertWithMessage;

import dev.toucanstall.core.job.WaveOrder;
import java.util.List;
import java.util.Objects;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Checks that lasting tasks stay available while machines are emptied, moved or fail. */
final class AvailabilityTest {

  /** Limit of unavailable tasks of the step in the scenarios without faults. */
  private static final int MAY_MISS = 4;

  /** Racks in the scenarios with moving and failing machines. */
  private static final int RACKS = 4;

  /** Backend servers on a rack. */
  private static final int RACK = 4;

  /**
   * Longest time that a lasting task may be without a run while there is free capacity, in
   * milliseconds.
   */
  private static final long ABSENT_MS = 3_000;

  /**
   * Longest time that leases can bind a task to a backend server that has failed, in milliseconds.
   */
  private static final long LEASE_MS = 6_000;

  /**
   * Returns twelve backend servers that run a lasting step of 24 tasks, of which four may be
   * unavailable.
   */
  private static PlanWorld world(long seed) {
    PlanWorld world = new PlanWorld(seed);
    world.holdsWait = true;
    world.availability.lapsesCount = true;
    IntStream.range(0, 12).forEach(i -> world.server("w" + i, 10_000));
    world.elect();
    world.run(500);
    world.submit("j", PlanWorld.lasting(24, 1_000, 2, MAY_MISS));
    world.run(5_000);
    return world;
  }

  /** Orders the maintenance of half of the machines. */
  private static void wave(PlanWorld world) {
    List<String> machines = IntStream.range(0, 6).mapToObj(i -> "m-w" + i).toList();
    world.tell(new PlanEvent.WaveOrdered(new WaveOrder(1, machines, 20_000, world.parallel)));
  }

  /**
   * Guards against more unavailable lasting tasks than the limit of their step in a wave without
   * faults.
   */
  @Test
  void calmWaveKeepsLastingTasksAvailable() {
    PlanWorld world = world(1);
    wave(world);
    world.run(20_000);
    assertWithMessage("violated invariants").that(world.broken).isEmpty();
    assertWithMessage("machines").that(world.maintained).hasSize(6);
  }

  /**
   * Guards against stops of lasting tasks that count others as available though their leases have
   * lapsed while the planner was busy.
   */
  @Test
  void waveCountsTasksWhoseLeasesLapsedWhilePlannerWasBusy() {
    for (long busyMs = 4_500; busyMs <= 7_500; busyMs += 250) {
      PlanWorld world = world(busyMs);
      Objects.requireNonNull(world.planner).keepBusy(busyMs);
      wave(world);
      world.run(busyMs + 15_000);
      assertWithMessage("busy for %s ms", busyMs).that(world.broken).isEmpty();
    }
  }

  /**
   * Returns sixteen backend servers on racks of four, eight machines that are switched off, and a
   * running lasting and a running filling step.
   */
  private static PlanWorld racks(long seed) {
    PlanWorld world = new PlanWorld(seed);
    world.holdsWait = true;
    world.weight = 1_000;
    IntStream.range(0, RACKS * RACK).forEach(i -> world.server("w" + i, 10_000));
    IntStream.range(0, 8).forEach(i -> world.standby.add("m-off" + i));
    world.elect();
    world.run(500);
    world.submit("serves", PlanWorld.lasting(8, 1_000, 2, 2));
    world.submit("fills", PlanWorld.filling(8, 1_000));
    world.run(3_000);
    return world;
  }

  /** Submits jobs in every second interval of four seconds, so that machines move. */
  private static void turns(PlanWorld world, long forMs) {
    for (long at = 0; at < forMs; at += 100) {
      if (at / 4_000 % 2 == 0) {
        world.submit("j" + world.now().steadyMs(), PlanWorld.step(12, 1_000));
      }
      world.run(100);
    }
  }

  /** Checks that no lasting task was without a run for longer than a bound, in milliseconds. */
  private static void assertRuns(PlanWorld world, long seed, long boundMs) {
    assertWithMessage("longest time without a run, seed %s", seed)
        .that(world.availability.longestMs(world.now().steadyMs()))
        .isAtMost(boundMs);
    assertWithMessage("violated invariants, seed %s", seed).that(world.broken).isEmpty();
  }

  /**
   * Guards against lasting tasks that stay without a run, and so are lost to their users, while
   * machines are moved and maintained.
   */
  @Test
  void lastingTaskRunsAgainSoonWhileMachinesMove() {
    for (long seed = 1; seed <= 5; seed++) {
      PlanWorld world = racks(seed);
      wave(world);
      turns(world, 20_000);
      assertRuns(world, seed, ABSENT_MS);
    }
  }

  /**
   * Guards against lasting tasks that stay without a run, and so are lost to their users, once
   * their backend server has lost its power or its network.
   */
  @Test
  void lastingTaskRunsElsewhereOnceItsServerIsDark() {
    for (long seed = 1; seed <= 10; seed++) {
      PlanWorld world = racks(seed);
      for (int round = 0; round < 4; round++) {
        boolean dark = world.random.nextBoolean();
        trouble(world, world.random.nextInt(RACKS), dark, 1_000 + world.random.nextInt(9_000));
        turns(world, 14_000);
      }
      assertRuns(world, seed, LEASE_MS + ABSENT_MS);
    }
  }

  /**
   * Lets a rack lose its network, and its power too if {@code dark}, and restores it after a time.
   */
  private static void trouble(PlanWorld world, int rack, boolean dark, long forMs) {
    List<FakeServer> hit =
        IntStream.range(rack * RACK, (rack + 1) * RACK)
            .mapToObj(i -> world.servers.get("w" + i))
            .filter(s -> s != null && s.up)
            .toList();
    for (FakeServer server : hit) {
      server.reachable = false;
      if (dark) {
        server.crash();
      }
      world.at(forMs, () -> back(world, server, dark));
    }
  }

  /**
   * Restores a backend server; starts it again if it lost its power and its machine has not moved.
   */
  private static void back(PlanWorld world, FakeServer server, boolean dark) {
    server.reachable = true;
    if (dark && world.servers.get(server.id) == server) {
      world.startAgain(server);
    }
  }
}
