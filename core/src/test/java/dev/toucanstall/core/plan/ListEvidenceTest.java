package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which lists of runs prove that a run does not exist. */
final class ListEvidenceTest {

  private final PlanSimulation sim = new PlanSimulation(1);

  /** Starts a lasting task, then delivers empty lists of its backend server. */
  private void listNothing(boolean complete) {
    SimulatedServer server = sim.addServer("w1", 10_000);
    sim.electPlanner();
    sim.run(200);
    sim.submit("j", PlanSimulation.lastingStep(1, 1_000, 0));
    sim.run(1_000);
    long nowMs = sim.now().steadyMs();
    LeaseRenewalResult lists =
        new LeaseRenewalResult.Listed(
            server.startTimeMs, server.steadyClockMs(nowMs), List.of(), List.of(), complete);
    sim.post(new PlanEvent.Held("w1", server.startTimeMs, 0, nowMs, lists));
  }

  private boolean released() {
    return sim.effects.stream()
        .anyMatch(e -> e instanceof PlanEffect.Note note && note.event().equals("run-released"));
  }

  @Test
  void completeListThatLacksRunReleasesItsTask() {
    listNothing(true);
    assertThat(released()).isTrue();
  }

  /** Guards against a second run of a task whose row in a list could not be read. */
  @Test
  void listWithUnreadableRowsReleasesNoTask() {
    listNothing(false);
    assertThat(released()).isFalse();
  }
}
