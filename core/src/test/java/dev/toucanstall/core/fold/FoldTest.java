package dev.toucanstall.core.fold;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.toucanstall.core.model.Address;
import dev.toucanstall.core.model.DomainId;
import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.model.PoolId;
import dev.toucanstall.core.model.Producer;
import dev.toucanstall.core.model.TeamId;
import dev.toucanstall.core.model.WaveId;
import dev.toucanstall.core.record.Condition;
import dev.toucanstall.core.record.DrainReason;
import dev.toucanstall.core.record.LogEntry;
import dev.toucanstall.core.record.Member;
import dev.toucanstall.core.record.Observation;
import dev.toucanstall.core.record.RecordBody;
import dev.toucanstall.core.settings.Assignment;
import dev.toucanstall.core.settings.SettingsPath;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.junit.jupiter.api.Test;

final class FoldTest {

  private AppliedState state = AppliedState.EMPTY;
  private RecordOutcome lastOutcome = new RecordOutcome.Accepted();

  private void fold(String producer, long sequence, RecordBody body) {
    LogEntry entry = new LogEntry(state.offset() + 1, new Producer(producer, 1), sequence, body);
    FoldResult result = Fold.apply(state, entry);
    state = result.state();
    lastOutcome = result.outcome();
  }

  private void changeSettings(String change, String subtree, String... pathsAndValues) {
    List<Assignment> assignments = new ArrayList<>();
    for (int i = 0; i < pathsAndValues.length; i += 2) {
      assignments.add(new Assignment(pathsAndValues[i], pathsAndValues[i + 1]));
    }
    long base = state.tree().version(SettingsPath.parse(subtree));
    fold(change, 1, new RecordBody.SettingsChanged(subtree, base, "test", assignments));
  }

  private static Observation observation(String id, long incarnation, Condition condition) {
    return new Observation(
        new InstanceId(id),
        incarnation,
        new Address("127.0.0.1", 9000),
        "dc1",
        new DomainId("rack-" + id.charAt(1)),
        8,
        condition);
  }

  private void addTwoInstancesToOnePool() {
    changeSettings("c1", "/", "/pools/p/max-unavailable", "1", "/waves/w/pool", "p");
    changeSettings("c2", "/waves/w", "/waves/w/state", "running");
    changeSettings("c3", "/", "/instances/a1/pool", "p", "/instances/a2/pool", "p");
    fold(
        "e1",
        1,
        new RecordBody.InstancesObserved(
            List.of(observation("a1", 1, Condition.UP), observation("a2", 1, Condition.UP))));
  }

  private RecordBody drain(String id) {
    return new RecordBody.DrainStarted(
        new InstanceId(id), new DrainReason.Maintenance(new WaveId("w")));
  }

  @Test
  void recordAfterOffsetGapIsNotFolded() {
    LogEntry later =
        new LogEntry(5, new Producer("e1", 1), 1, new RecordBody.UnknownRecord("x", false));

    assertThrows(IllegalArgumentException.class, () -> Fold.apply(AppliedState.EMPTY, later));
  }

  @Test
  void repeatedRecordHasNoEffect() {
    changeSettings("c1", "/teams/t", "/teams/t/limit", "5");
    fold(
        "c1",
        1,
        new RecordBody.SettingsChanged(
            "/teams/t", 0, "test", List.of(new Assignment("/teams/t/limit", "9"))));

    assertThat(lastOutcome).isInstanceOf(RecordOutcome.Repeated.class);
    assertThat(state.settings().limit(new TeamId("t"))).isEqualTo(5);
  }

  @Test
  void recordsOfOneProducerMayArriveOutOfOrder() {
    fold("e1", 2, new RecordBody.UnknownRecord("b", false));
    fold("e1", 1, new RecordBody.UnknownRecord("a", false));

    assertThat(lastOutcome).isInstanceOf(RecordOutcome.Refused.class);
    fold("e1", 1, new RecordBody.UnknownRecord("a", false));
    assertThat(lastOutcome).isInstanceOf(RecordOutcome.Repeated.class);
  }

  @Test
  void refusalOfStaleBaseNamesConflictingChange() {
    changeSettings("c1", "/teams/t", "/teams/t/limit", "5");
    fold(
        "c2",
        1,
        new RecordBody.SettingsChanged(
            "/teams/t", -1, "test", List.of(new Assignment("/teams/t/limit", "9"))));

    assertThat(lastOutcome.refusal().orElse("")).contains("is at 0");
    assertThat(lastOutcome.refusal().orElse("")).contains("limit");
  }

  @Test
  void danglingPoolIsRefused() {
    changeSettings("c1", "/services/s", "/services/s/pool", "nowhere");

    assertThat(lastOutcome.refusal().orElse(""))
        .isEqualTo("pool \"nowhere\" does not exist, named by /services/s/pool");
    assertThat(state.settings().services()).isEmpty();
  }

  @Test
  void secondDrainBeyondTheBudgetIsRefused() {
    addTwoInstancesToOnePool();
    fold("e1", 2, drain("a1"));
    fold("e2", 1, drain("a2"));

    assertThat(lastOutcome.refusal().orElse(""))
        .isEqualTo("pool \"p\" would have 2 instances unavailable, its budget is 1");
  }

  @Test
  void instanceThatIsDownCountsAgainstTheBudget() {
    addTwoInstancesToOnePool();
    fold("e1", 2, new RecordBody.InstancesObserved(List.of(observation("a2", 1, Condition.DOWN))));
    fold("e1", 3, drain("a1"));

    assertThat(lastOutcome).isInstanceOf(RecordOutcome.Refused.class);
  }

  @Test
  void emptyInstanceServesAgainOnceItHasRestarted() {
    addTwoInstancesToOnePool();
    fold("e1", 2, drain("a1"));
    fold("e1", 3, new RecordBody.InstanceEmptied(new InstanceId("a1"), state.offset()));
    fold("e1", 4, new RecordBody.InstancesObserved(List.of(observation("a1", 2, Condition.UP))));

    FleetInstance instance = Objects.requireNonNull(state.fleet().get(new InstanceId("a1")));
    assertThat(instance.phase()).isInstanceOf(InstancePhase.Serving.class);
    assertThat(instance.lastWave()).isEqualTo(new WaveId("w"));
  }

  @Test
  void instanceThatDoesNotDrainIsNotEmptied() {
    addTwoInstancesToOnePool();
    fold("e1", 2, new RecordBody.InstanceEmptied(new InstanceId("a1"), 0));

    assertThat(lastOutcome).isInstanceOf(RecordOutcome.Refused.class);
  }

  @Test
  void moveNeedsAnEmptyInstance() {
    addTwoInstancesToOnePool();
    changeSettings("c9", "/pools/q", "/pools/q/max-unavailable", "1");
    fold(
        "e1",
        2,
        new RecordBody.InstanceMoved(new InstanceId("a1"), new PoolId("p"), new PoolId("q")));

    assertThat(lastOutcome).isInstanceOf(RecordOutcome.Refused.class);
    assertThat(state.fleet().idsInPool(new PoolId("p"))).hasSize(2);
  }

  @Test
  void membersChangeOneByOne() {
    fold("e1", 1, new RecordBody.MemberJoined(member("e1")));
    fold("e2", 1, new RecordBody.MemberJoined(member("e2")));
    fold("e2", 2, new RecordBody.MembershipAcknowledged(1));
    assertThat(lastOutcome).isInstanceOf(RecordOutcome.Refused.class);

    fold("e1", 2, new RecordBody.MembershipAcknowledged(0));
    assertThat(state.membership().active().keySet()).containsExactly(new MemberId("e1"));
    fold("e1", 3, new RecordBody.MembershipAcknowledged(1));
    assertThat(state.membership().active()).hasSize(1);
    fold("e2", 3, new RecordBody.MembershipAcknowledged(1));
    assertThat(state.membership().active()).hasSize(2);
  }

  @Test
  void evictionOfAnEarlierIncarnationIsRefused() {
    fold("e1", 1, new RecordBody.MemberJoined(member("e1")));
    fold("e1", 2, new RecordBody.MembershipAcknowledged(0));
    fold("e2", 1, new RecordBody.MemberEvicted(new MemberId("e1"), 0));

    assertThat(lastOutcome).isInstanceOf(RecordOutcome.Refused.class);
  }

  @Test
  void equalRecordsGiveEqualDigests() {
    addTwoInstancesToOnePool();
    long firstDigest = state.digest();
    state = AppliedState.EMPTY;
    addTwoInstancesToOnePool();

    assertThat(state.digest()).isEqualTo(firstDigest);
  }

  private static Member member(String name) {
    return new Member(
        new MemberId(name),
        1,
        new Address("127.0.0.1", 7000),
        new Address("127.0.0.1", 8000),
        "dc1",
        new DomainId(name));
  }
}
