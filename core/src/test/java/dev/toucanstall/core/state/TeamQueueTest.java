package dev.toucanstall.core.state;

import static com.google.common.truth.Truth.assertThat;

import dev.toucanstall.core.event.Arrival;
import dev.toucanstall.core.model.PoolId;
import dev.toucanstall.core.model.ServiceId;
import dev.toucanstall.core.model.TeamId;
import dev.toucanstall.core.model.Urgency;
import java.util.List;
import org.junit.jupiter.api.Test;

final class TeamQueueTest {

  private static Request request(long number, Urgency urgency, long deadline) {
    return new Request(
        number,
        new TeamId("t"),
        new ServiceId("s"),
        new Arrival(null, "s", null, true, true, urgency, deadline),
        0,
        null,
        List.of(),
        false,
        new RequestStage.Waiting(new PoolId("p")));
  }

  @Test
  void urgentGoesBeforeEarlierBatch() {
    TeamQueue queue =
        TeamQueue.EMPTY
            .plus(request(1, Urgency.BATCH, 1_000))
            .plus(request(2, Urgency.URGENT, 1_000));

    assertThat(queue.firstNumber(0, 10)).isEqualTo(2);
  }

  @Test
  void batchThatIsNearlyDueGoesBeforeLaterUrgent() {
    TeamQueue queue =
        TeamQueue.EMPTY
            .plus(request(1, Urgency.BATCH, 1_000))
            .plus(request(2, Urgency.URGENT, 2_000));

    assertThat(queue.firstNumber(995, 10)).isEqualTo(1);
  }

  @Test
  void batchAloneIsNotUrgentUntilItIsNearlyDue() {
    TeamQueue queue = TeamQueue.EMPTY.plus(request(1, Urgency.BATCH, 1_000));

    assertThat(queue.hasUrgent(0, 10)).isFalse();
    assertThat(queue.hasUrgent(990, 10)).isTrue();
  }

  @Test
  void removalOfAnAbsentRequestChangesNothing() {
    TeamQueue queue = TeamQueue.EMPTY.plus(request(1, Urgency.URGENT, 1_000));

    assertThat(queue.minus(9).size()).isEqualTo(1);
    assertThat(queue.minus(1).size()).isEqualTo(0);
  }
}
