package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertWithMessage;

import dev.toucanstall.core.job.WaveOrder;
import java.util.List;
import java.util.Objects;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Lasting tasks stay available while machines are emptied. */
final class AvailabilityTest {

  private static final int MAY_MISS = 4;
  private static final int RACKS = 4;
  private static final int RACK = 4;

  /** How long a lasting task may be without a run while there is room, in milliseconds. */
  private static final long ABSENT_MS = 3_000;

  /** How long leases may keep a task bound to a backend server in trouble, in milliseconds. */
  private static final long LEASE_MS = 6_000;

  /** Twelve backend servers, and a lasting step of 24 tasks of which four may be away. */
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

  private static void wave(PlanWorld world) {
    List<String> machines = IntStream.range(0, 6).mapToObj(i -> "m-w" + i).toList();
    world.tell(new PlanEvent.WaveOrdered(new WaveOrder(1, machines, 20_000, world.parallel)));
  }

  // Guards against more lasting tasks away than a step bears, in a wave without any trouble.
  @Test
  void calmWaveKeepsLastingTasksAvailable() {
    PlanWorld world = world(1);
    wave(world);
    world.run(20_000);
    assertWithMessage("broken promises").that(world.broken).isEmpty();
    assertWithMessage("machines").that(world.maintained).hasSize(6);
  }

  // Guards against stops of lasting tasks that count on others whose leases have lapsed meanwhile.
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
   * Sixteen backend servers on racks of four, machines that are switched off, and lasting steps.
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

  /** Jobs that come by turns, so that machines move. */
  private static void turns(PlanWorld world, long forMs) {
    for (long at = 0; at < forMs; at += 100) {
      if (at / 4_000 % 2 == 0) {
        world.submit("j" + world.now().steadyMs(), PlanWorld.step(12, 1_000));
      }
      world.run(100);
    }
  }

  private static void assertRuns(PlanWorld world, long seed, long boundMs) {
    assertWithMessage("longest time without a run, seed %s", seed)
        .that(world.availability.longestMs(world.now().steadyMs()))
        .isAtMost(boundMs);
    assertWithMessage("broken promises, seed %s", seed).that(world.broken).isEmpty();
  }

  // Guards against lasting tasks without a run while machines move and are maintained: LOST.
  @Test
  void lastingTaskRunsAgainSoonWhileMachinesMove() {
    for (long seed = 1; seed <= 5; seed++) {
      PlanWorld world = racks(seed);
      wave(world);
      turns(world, 20_000);
      assertRuns(world, seed, ABSENT_MS);
    }
  }

  // Guards against lasting tasks without a run once their backend server is dark or silent: LOST.
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

  /** A rack loses its power, or its network only, and is back after a time. */
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

  private static void back(PlanWorld world, FakeServer server, boolean dark) {
    server.reachable = true;
    if (dark && world.servers.get(server.id) == server) {
      world.startAgain(server);
    }
  }
}
