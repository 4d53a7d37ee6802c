package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests that the log names the evidence on which a run's task was released. */
final class RunReleaseLogTest {

  private static final String TERM_START = "0";

  private static PlanSimulation simulationWithLastingTasks() {
    PlanSimulation sim = new PlanSimulation(1);
    sim.addServer("w1", 10_000);
    sim.run(PlanSimulation.LONG_UPTIME_MS);
    sim.electPlanner();
    sim.run(200);
    sim.submit("j", PlanSimulation.lastingStep(2, 1_000, 0));
    sim.run(1_000);
    sim.addServer("w2", 10_000);
    return sim;
  }

  /** Returns the fields of each logged release, in order. */
  private static List<Map<String, String>> releases(PlanSimulation sim) {
    return sim.effects.stream()
        .filter(e -> e instanceof PlanEffect.Note note && note.event().equals("run-released"))
        .map(e -> ((PlanEffect.Note) e).fields())
        .toList();
  }

  private static List<String> evidence(PlanSimulation sim) {
    return releases(sim).stream().map(fields -> fields.get("evidence")).toList();
  }

  /** Guards against a second start whose reason no log line names. */
  @Test
  void releaseAfterLeaseNamesServerRunAndTerm() {
    PlanSimulation sim = simulationWithLastingTasks();
    sim.requireServer("w1").reachable = false;
    sim.run(8_000);
    assertThat(evidence(sim)).containsExactly("LEASES_EXPIRED", "LEASES_EXPIRED");
    Map<String, String> first = releases(sim).getFirst();
    assertThat(first).containsEntry("server", "w1");
    assertThat(first).containsEntry("run", "1");
    assertThat(first).containsEntry("epoch", "1");
    assertThat(first.get("term-ms")).isNotEqualTo(TERM_START);
  }

  /** Guards against a wait for leases whose bound and length no log line names. */
  @Test
  void releaseAfterLeaseNamesBoundAndWait() {
    PlanSimulation sim = simulationWithLastingTasks();
    sim.requireServer("w1").reachable = false;
    sim.run(8_000);
    List<String> reasons =
        sim.effects.stream()
            .filter(e -> e instanceof PlanEffect.Note note && note.event().equals("leases-out"))
            .map(e -> ((PlanEffect.Note) e).fields().getOrDefault("why", ""))
            .toList();
    assertThat(reasons).hasSize(1);
    assertThat(reasons.getFirst()).containsMatch("bound by OWN_LEASE, silent for [3-6]\\d{3} ms");
  }

  @Test
  void releaseOfRunThatRestartedServerLacksNamesTheList() {
    PlanSimulation sim = simulationWithLastingTasks();
    sim.requireServer("w1").crash();
    sim.addServer("w1", 10_000);
    sim.run(2_000);
    assertThat(evidence(sim)).containsExactly("ABSENT_FROM_LIST", "ABSENT_FROM_LIST");
  }

  @Test
  void releaseOfStoppedRunNamesItsListedEnd() {
    PlanSimulation sim = simulationWithLastingTasks();
    sim.requireServer("w1").draining = true;
    sim.run(6_000);
    assertThat(evidence(sim)).containsExactly("END_LISTED", "END_LISTED");
  }
}
