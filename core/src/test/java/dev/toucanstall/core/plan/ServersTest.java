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

  /** Backend servers. */
  private static final int SERVERS = 250;

  /**
   * Most backend servers that may be examined: a few for each event that concerns one, of which
   * there are about 30.
   */
  private static final long MOST_LOOKS = 120;

  /** Returns the state of the planner. */
  private static Plan plan(PlanWorld world) {
    return Objects.requireNonNull(world.planner).plan;
  }

  /**
   * Returns a planner of many backend servers whose periodic passes over all of them are switched
   * off, so that only events cause examinations.
   */
  private static PlanWorld large() {
    PlanWorld world = new PlanWorld(1);
    IntStream.range(0, SERVERS).forEach(i -> world.server("w" + i, 10_000));
    world.elect();
    plan(world).moves.nextRebalanceMs = Long.MAX_VALUE;
    world.run(2_000);
    world.submit("lasting", PlanWorld.lasting(4, 1_000, 1));
    world.run(1_000);
    plan(world).nextSweepMs = Long.MAX_VALUE;
    return world;
  }

  /** Guards against calls that expire because each placement pass examines every backend server. */
  @Test
  void passesBetweenEventsOfFewServersDoNotLookAtAllOfThem() {
    PlanWorld world = large();
    final long passes = plan(world).passes;
    final long looks = plan(world).serversExamined();
    world.submit("short", PlanWorld.step(4, 1_000), PlanWorld.step(2, 1_000, 0));
    world.run(450);
    assertThat(plan(world).passes - passes).isAtLeast(20);
    assertThat(plan(world).serversExamined() - looks).isAtMost(MOST_LOOKS);
  }

  /** Guards against calls that expire because each waiting task examines every backend server. */
  @Test
  void taskThatWaitsLooksOnlyAtServersThatMayBeBest() {
    PlanWorld world = large();
    final long looks = plan(world).serversExamined();
    world.submit("wide", PlanWorld.step(30, 1_000));
    world.run(60);
    assertThat(world.servers.values().stream().mapToInt(s -> s.running.size()).sum()).isEqualTo(34);
    assertThat(plan(world).serversExamined() - looks).isAtMost(MOST_LOOKS);
  }

  /** Guards against a restarted backend server whose lease is not renewed. */
  @Test
  void serverThatIsListedWithAnotherLifeDuringRenewalIsHeldAgain() {
    PlanWorld world = large();
    FakeServer before =
        world.servers.values().stream().filter(s -> !s.running.isEmpty()).findFirst().orElseThrow();
    before.crash();
    FakeServer after = world.server(before.id, 10_000);
    world.tell(
        new PlanEvent.ServersRead(List.of(after.entry(world.now().steadyMs())), List.of(), false));
    world.run(60);
    Server known = Objects.requireNonNull(plan(world).servers.get(before.id));
    assertThat(known.entry.startTimeMs()).isEqualTo(after.bornMs);
    assertThat(known.answered).isTrue();
  }
}
