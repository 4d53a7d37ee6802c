package dev.toucanstall.wire.json;

import static com.google.common.truth.Truth.assertThat;

import dev.toucanstall.core.fold.AppliedState;
import dev.toucanstall.core.fold.Fold;
import dev.toucanstall.core.model.Address;
import dev.toucanstall.core.model.DomainId;
import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.model.PoolId;
import dev.toucanstall.core.model.Producer;
import dev.toucanstall.core.model.WaveId;
import dev.toucanstall.core.record.Condition;
import dev.toucanstall.core.record.DrainReason;
import dev.toucanstall.core.record.LogEntry;
import dev.toucanstall.core.record.Member;
import dev.toucanstall.core.record.Observation;
import dev.toucanstall.core.record.RecordBody;
import dev.toucanstall.core.settings.Assignment;
import dev.toucanstall.wire.Decoded;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

final class RecordCodecTest {

  private static final Member MEMBER =
      new Member(
          new MemberId("e1"),
          3,
          new Address("127.0.0.1", 7000),
          new Address("127.0.0.1", 8000),
          "dc1",
          new DomainId("r1"));

  private static List<RecordBody> bodies() {
    return List.of(
        new RecordBody.SettingsChanged(
            "/teams/a",
            -1,
            "ann",
            List.of(new Assignment("/teams/a/limit", "5"), new Assignment("/teams/b", null))),
        new RecordBody.MemberJoined(MEMBER),
        new RecordBody.MemberLeft(new MemberId("e1"), 3),
        new RecordBody.MemberEvicted(new MemberId("e1"), 3),
        new RecordBody.MemberRemoved(new MemberId("e1"), 3),
        new RecordBody.MembershipAcknowledged(1),
        new RecordBody.InstancesObserved(List.of(observation())),
        new RecordBody.DrainStarted(
            new InstanceId("w1"), new DrainReason.Maintenance(new WaveId("w"))),
        new RecordBody.DrainStarted(new InstanceId("w1"), new DrainReason.Move(new PoolId("p"))),
        new RecordBody.DrainStarted(new InstanceId("w1"), new DrainReason.Repair("fails")),
        new RecordBody.DrainCancelled(new InstanceId("w1"), "budget"),
        new RecordBody.InstanceEmptied(new InstanceId("w1"), 9),
        new RecordBody.InstanceMoved(new InstanceId("w1"), new PoolId("p"), new PoolId("q")),
        new RecordBody.SnapshotPart("s", 5, 0, 2, "{\"a\":"));
  }

  private static Observation observation() {
    return new Observation(
        new InstanceId("w1"),
        2,
        new Address("127.0.0.1", 9000),
        "dc1",
        new DomainId("r1"),
        8,
        Condition.LEAVING);
  }

  private static String encode(RecordBody body) {
    return RecordCodec.encode(new RecordCodec.Line(new Producer("e1", 3), 7, body));
  }

  @Test
  void everyKindSurvivesTheWayThroughTheLog() {
    for (RecordBody body : bodies()) {
      assertThat(RecordCodec.decode(4, encode(body)))
          .isEqualTo(new LogEntry(4, new Producer("e1", 3), 7, body));
    }
  }

  @Test
  void unknownKindKeepsWhetherItIsRequired() {
    String text =
        encode(new RecordBody.MembershipAcknowledged(1))
            .replace("membership-acknowledged", "from-the-future")
            .replace("\"change\":1", "\"required\":true");

    assertThat(RecordCodec.decode(4, text).body())
        .isEqualTo(new RecordBody.UnknownRecord("from-the-future", true));
  }

  @Test
  void malformedTextChangesNothing() {
    for (String text : List.of("", "null", "[]", "{}", "{\"body\":{}}", "\u0000", "{\"body\":3}")) {
      LogEntry entry = RecordCodec.decode(0, text);
      assertThat(entry.body()).isEqualTo(new RecordBody.UnknownRecord("malformed", false));
      assertThat(Fold.apply(AppliedState.EMPTY, entry).state().tree().leaves()).isEmpty();
    }
  }

  @Property(tries = 2_000, seed = "11")
  void mutatedRecordsNeverThrow(
      @ForAll @IntRange(max = 13) int kind,
      @ForAll @IntRange(max = 400) int place,
      @ForAll char replacement) {
    String text = encode(bodies().get(kind));
    int at = place % text.length();
    String mutated = text.substring(0, at) + replacement + text.substring(at + 1);

    LogEntry entry = RecordCodec.decode(0, mutated);

    assertThat(Fold.apply(AppliedState.EMPTY, entry).state().offset()).isEqualTo(0);
  }

  @Test
  void snapshotRestoresTheWholeState() {
    AppliedState folded = AppliedState.EMPTY;
    for (RecordBody body : bodies()) {
      long offset = folded.offset() + 1;
      folded =
          Fold.apply(folded, new LogEntry(offset, new Producer("e1", 3), offset + 1, body)).state();
    }

    assertThat(SnapshotCodec.decode(SnapshotCodec.encode(folded, "s")))
        .isEqualTo(new Decoded.Value<>(folded));
  }

  @Test
  void snapshotWithMissingPartIsMalformed() {
    List<RecordBody.SnapshotPart> parts =
        new ArrayList<>(List.of(new RecordBody.SnapshotPart("s", 1, 1, 2, "x")));

    assertThat(SnapshotCodec.decode(parts)).isInstanceOf(Decoded.Malformed.class);
  }
}
