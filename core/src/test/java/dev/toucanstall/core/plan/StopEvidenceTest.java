package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertThat;

import dev.toucanstall.core.job.TaskPhase;
import java.util.List;
import java.util.Objects;
import org.junit.jupiter.api.Test;

/** Tests which answers to a stop prove that a run that no list shows will not begin. */
final class StopEvidenceTest {

  private final PlanSimulation sim = new PlanSimulation(1);

  /** Returns a task whose start had no answer and whose stop was sent to the server "w1". */
  private Task taskBeingStopped() {
    sim.addServer("w1", 10_000);
    sim.electPlanner();
    sim.run(200);
    sim.submit("j", PlanSimulation.lastingStep(1, 1_000, 0));
    sim.run(1_000);
    Task task =
        Objects.requireNonNull(Objects.requireNonNull(sim.planner).plan.jobs.get("j"))
            .tasks()
            .findFirst()
            .orElseThrow();
    task.startUnanswered = true;
    task.stopSent = true;
    task.absenceConclusiveAfterMs = 0;
    task.setPhase(TaskPhase.STOPPING);
    return task;
  }

  private void answerStopThenListNothing(Task task, OrderResult.Reason reason) {
    SimulatedServer server = sim.requireServer("w1");
    long clockMs = server.steadyClockMs(sim.now().steadyMs());
    sim.post(
        new PlanEvent.Stopped(
            "w1",
            server.startTimeMs,
            task.key,
            task.run,
            new OrderResult.Rejected(reason, clockMs)));
    LeaseRenewalResult emptyLists =
        new LeaseRenewalResult.Listed(server.startTimeMs, clockMs, List.of(), List.of());
    sim.post(new PlanEvent.Held("w1", server.startTimeMs, 0, sim.now().steadyMs() + 1, emptyLists));
  }

  private boolean released() {
    return sim.effects.stream()
        .anyMatch(e -> e instanceof PlanEffect.Note note && note.event().equals("run-released"));
  }

  /**
   * Guards against a second run of a task after a stop that an unhealthy backend server refused: it
   * has done nothing, so a start that is on its way may still be carried out.
   */
  @Test
  void stopRefusedByUnhealthyServerProvesNothing() {
    Task task = taskBeingStopped();
    answerStopThenListNothing(task, OrderResult.Reason.UNHEALTHY);
    assertThat(released()).isFalse();
  }

  /** Guards against the same after a stop that the backend server did not understand. */
  @Test
  void stopNotUnderstoodByServerProvesNothing() {
    Task task = taskBeingStopped();
    answerStopThenListNothing(task, OrderResult.Reason.MALFORMED);
    assertThat(released()).isFalse();
  }
}
