package dev.toucanstall.entry.node;

import static com.google.common.truth.Truth.assertThat;

import dev.toucanstall.core.job.JobCall;
import dev.toucanstall.core.job.Resources;
import dev.toucanstall.core.job.ServerEntry;
import dev.toucanstall.core.job.TaskKey;
import dev.toucanstall.core.model.Address;
import dev.toucanstall.core.node.NodeEffect;
import dev.toucanstall.core.node.NodeEvent;
import dev.toucanstall.core.plan.OrderResult;
import dev.toucanstall.core.plan.PlanEffect;
import dev.toucanstall.core.plan.PlanEvent;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests that each effect with a result has an event that reports its failure. */
final class EffectFailuresTest {

  private static final Address ADDRESS = new Address("10.0.0.1", 80);
  private static final TaskKey TASK = new TaskKey("j", 0, 0, 0);
  private static final ServerEntry SERVER =
      new ServerEntry("w1", 7, "s", ADDRESS, "", false, Resources.NONE, Set.of(), 0);

  private static NodeEvent resultOf(PlanEffect effect) {
    return EffectFailures.resultOf(new NodeEffect.OfPlan(3, effect), 100, "broken").orElseThrow();
  }

  /** Guards against a mark of a pending call that stays set because the call threw. */
  @Test
  void failureOfEachCallOfThePlannerIsReportedToItsTerm() {
    List<PlanEffect> calls =
        List.of(
            new PlanEffect.Append(3, 5, List.of()),
            new PlanEffect.Hold(SERVER, 3, 0, 0, 0),
            new PlanEffect.Start(SERVER, 3, TASK, 1, "", "", 0),
            new PlanEffect.Stop(SERVER, 3, TASK, 1),
            new PlanEffect.ListMachines(),
            new PlanEffect.Maintain(1, "m", 3),
            new PlanEffect.Move("m", "s", 3));
    for (PlanEffect call : calls) {
      assertThat(resultOf(call)).isInstanceOf(NodeEvent.ForPlan.class);
      assertThat(((NodeEvent.ForPlan) resultOf(call)).epoch()).isEqualTo(3);
    }
  }

  /** Guards against a stop that fails in the same way over and over without a pause. */
  @Test
  void failedStopIsReportedAsUndelivered() {
    assertThat(resultOf(new PlanEffect.Stop(SERVER, 3, TASK, 1)))
        .isEqualTo(
            new NodeEvent.ForPlan(
                3, new PlanEvent.Stopped("w1", 7, TASK, 1, new OrderResult.ConnectionRefused())));
  }

  @Test
  void callThatCannotBeForwardedIsReportedAsUnsent() {
    JobCall call = new JobCall.Show("0123456789abcdef", "q");
    assertThat(EffectFailures.resultOf(new NodeEffect.AskPeer(ADDRESS, 9, call), 100, "broken"))
        .hasValue(new NodeEvent.AskUnsent(ADDRESS, 9));
    assertThat(EffectFailures.resultOf(new NodeEffect.EndTerm(), 100, "broken")).isEmpty();
  }
}
