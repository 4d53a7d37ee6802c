package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertThat;

import dev.toucanstall.core.job.JobAnswer;
import java.util.Objects;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Tests {@link Placement}. The name of each test says which load it simulates. */
final class PlacementTest {

  /** Returns a planner and four backend servers of ten cores each. */
  private static PlanSimulation fourServers() {
    PlanSimulation sim = new PlanSimulation(1);
    Stream.of("w1", "w2", "w3", "w4").forEach(id -> sim.addServer(id, 10_000));
    sim.electPlanner();
    sim.run(200);
    return sim;
  }

  private static long serversInUse(PlanSimulation sim) {
    return sim.servers.values().stream().filter(s -> !s.running.isEmpty()).count();
  }

  @Test
  void lightLoadUsesOneServer() {
    PlanSimulation sim = fourServers();
    sim.taskMs = 1_000;
    sim.submit("j", PlanSimulation.step(4, 1_000));
    sim.submit("k", PlanSimulation.step(4, 1_000));
    sim.run(300);
    assertThat(serversInUse(sim)).isEqualTo(1);
  }

  @Test
  void aboutHalfOfLastingStepSurvivesLossOfOneServer() {
    PlanSimulation sim = fourServers();
    sim.submit("j", PlanSimulation.lastingStep(5, 1_000, 0));
    sim.run(300);
    assertThat(serversInUse(sim)).isEqualTo(2);
    assertThat(sim.servers.values().stream().mapToInt(s -> s.running.size()).max().orElse(0))
        .isEqualTo(3);
  }

  @Test
  void fillingTasksAvoidServersOfLastingTasks() {
    PlanSimulation sim = fourServers();
    sim.submit("serves", PlanSimulation.lastingStep(2, 1_000, 0));
    sim.run(300);
    sim.submit("fills", PlanSimulation.fillingStep(2, 5_000));
    sim.run(300);
    assertThat(
            sim.servers.values().stream()
                .map(s -> s.running.keySet().stream().map(t -> t.job()).distinct().count()))
        .containsExactly(1L, 1L, 1L, 1L);
  }

  @Test
  void burstOfSubmissionsSharesPlacementPasses() {
    PlanSimulation sim = fourServers();
    Plan plan = Objects.requireNonNull(sim.planner).plan;
    final long passesBefore = plan.passes;
    for (int i = 0; i < 400; i++) {
      sim.submit("j" + i, PlanSimulation.step(4, 1_000));
    }
    sim.run(20);
    assertThat(plan.passes - passesBefore).isAtMost(3L);
    assertThat(sim.answers.values()).contains(new JobAnswer.Accepted());
  }
}
