package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Objects;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class ServersTest {

  private static final int SERVERS = 250;

  /** A few looks for each event that concerns a backend server, of which there are some 30. */
  private static final long MOST_LOOKS = 120;

  private static Plan plan(PlanWorld world) {
    return Objects.requireNonNull(world.planner).plan;
  }

  /** A planner of many backend servers that looks at all of them only for the events to come. */
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

  // Guards against calls that expired because each pass looked at every backend server.
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

  // Guards against calls that expired because each waiting task looked at every backend server.
  @Test
  void taskThatWaitsLooksOnlyAtServersThatMayBeBest() {
    PlanWorld world = large();
    final long looks = plan(world).serversExamined();
    world.submit("wide", PlanWorld.step(30, 1_000));
    world.run(60);
    assertThat(world.servers.values().stream().mapToInt(s -> s.running.size()).sum()).isEqualTo(34);
    assertThat(plan(world).serversExamined() - looks).isAtMost(MOST_LOOKS);
  }

  // Guards against a backend server that no renewal looked at after it had started again.
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
