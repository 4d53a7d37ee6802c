package dev.toucanstall.core.reduce;

import static com.google.common.truth.Truth.assertThat;

import dev.toucanstall.core.event.Arrival;
import dev.toucanstall.core.model.Address;
import dev.toucanstall.core.model.DomainId;
import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.model.PoolId;
import dev.toucanstall.core.model.ServiceId;
import dev.toucanstall.core.model.TeamId;
import dev.toucanstall.core.model.Urgency;
import dev.toucanstall.core.record.Member;
import dev.toucanstall.core.state.Request;
import dev.toucanstall.core.state.RequestStage;
import dev.toucanstall.core.state.State;
import dev.toucanstall.core.state.Timing;
import java.util.List;
import org.junit.jupiter.api.Test;

final class HealthRulesTest {

  private static final InstanceId BAD = new InstanceId("bad");
  private static final InstanceId GOOD = new InstanceId("good");

  private final State initialState =
      State.initial(
          new Member(
              new MemberId("e1"),
              1,
              new Address("127.0.0.1", 1),
              new Address("127.0.0.1", 2),
              "dc1",
              new DomainId("r1")),
          Timing.DEFAULT,
          0);

  private static Request failedOn(InstanceId... instances) {
    return new Request(
        1,
        new TeamId("t"),
        new ServiceId("s"),
        new Arrival(null, "s", null, true, true, Urgency.URGENT, 1_000),
        0,
        null,
        List.of(instances),
        false,
        new RequestStage.Waiting(new PoolId("p")));
  }

  @Test
  void instanceWhoseRequestsSucceedElsewhereIsSuspended() {
    State state = initialState;
    for (int i = 0; i < 3; i++) {
      state = HealthRules.recordSuccess(state, failedOn(BAD), GOOD, 0).state();
    }

    assertThat(state.healthOf(BAD).acceptsRequest(1)).isFalse();
    assertThat(state.healthOf(GOOD).acceptsRequest(1)).isTrue();
  }

  @Test
  void requestThatFailsOnSeveralInstancesCountsAgainstNone() {
    State state = initialState;
    for (int i = 0; i < 10; i++) {
      state = HealthRules.recordFinalError(state, failedOn(GOOD, BAD), BAD, 0).state();
    }

    assertThat(state.healthOf(GOOD).acceptsRequest(1)).isTrue();
    assertThat(state.healthOf(BAD).acceptsRequest(1)).isTrue();
  }

  @Test
  void suspensionIsRecorded() {
    State state = initialState;
    for (int i = 0; i < 3; i++) {
      state = HealthRules.recordInstanceFailure(state, BAD, 0).state();
    }

    assertThat(state.diagnostics().decisions().entries().lastEntry().getValue().subject())
        .isEqualTo("instance/bad");
  }
}
