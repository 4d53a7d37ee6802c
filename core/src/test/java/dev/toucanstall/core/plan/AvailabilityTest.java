package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertWithMessage;

import dev.toucanstall.core.job.WaveOrder;
import java.util.List;
import java.util.Objects;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Lasting tasks stay available while machines are emptied. */
final class AvailabilityTest {

  private static final int MAY_MISS = 4;

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
  @Tag("known-red")
  void waveCountsTasksWhoseLeasesLapsedWhilePlannerWasBusy() {
    for (long busyMs = 4_500; busyMs <= 7_500; busyMs += 250) {
      PlanWorld world = world(busyMs);
      Objects.requireNonNull(world.planner).keepBusy(busyMs);
      wave(world);
      world.run(busyMs + 15_000);
      assertWithMessage("busy for %s ms", busyMs).that(world.broken).isEmpty();
    }
  }
}
