package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertThat;

import dev.toucanstall.core.job.JobAnswer;
import java.util.Objects;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Tests {@link Placement}. The name of each test says which load it simulates. */
final class PlacementTest {

  /** Returns a planner and four backend servers of ten cores each. */
  private static PlanWorld world() {
    PlanWorld world = new PlanWorld(1);
    Stream.of("w1", "w2", "w3", "w4").forEach(id -> world.server(id, 10_000));
    world.elect();
    world.run(200);
    return world;
  }

  /** Returns the number of backend servers with runs. */
  private static long inUse(PlanWorld world) {
    return world.servers.values().stream().filter(s -> !s.running.isEmpty()).count();
  }

  @Test
  void calmQueueUsesOneServer() {
    PlanWorld world = world();
    world.taskMs = 1_000;
    world.submit("j", PlanWorld.step(4, 1_000));
    world.submit("k", PlanWorld.step(4, 1_000));
    world.run(300);
    assertThat(inUse(world)).isEqualTo(1);
  }

  @Test
  void halfOfLastingStepOutlivesOneServer() {
    PlanWorld world = world();
    world.submit("j", PlanWorld.lasting(5, 1_000, 0));
    world.run(300);
    assertThat(inUse(world)).isEqualTo(2);
    assertThat(world.servers.values().stream().mapToInt(s -> s.running.size()).max().orElse(0))
        .isEqualTo(3);
  }

  @Test
  void fillingTasksKeepAwayFromLastingOnes() {
    PlanWorld world = world();
    world.submit("serves", PlanWorld.lasting(2, 1_000, 0));
    world.run(300);
    world.submit("fills", PlanWorld.filling(2, 5_000));
    world.run(300);
    assertThat(
            world.servers.values().stream()
                .map(s -> s.running.keySet().stream().map(t -> t.job()).distinct().count()))
        .containsExactly(1L, 1L, 1L, 1L);
  }

  @Test
  void burstOfCallsSharesPasses() {
    PlanWorld world = world();
    Plan plan = Objects.requireNonNull(world.planner).plan;
    final long before = plan.passes;
    for (int i = 0; i < 400; i++) {
      world.submit("j" + i, PlanWorld.step(4, 1_000));
    }
    world.run(20);
    assertThat(plan.passes - before).isAtMost(3L);
    assertThat(world.answers.values()).contains(new JobAnswer.Accepted());
  }
}
