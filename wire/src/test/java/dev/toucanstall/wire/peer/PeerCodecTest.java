package dev.toucanstall.wire.peer;

import static com.google.common.truth.Truth.assertThat;

import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.model.PoolId;
import dev.toucanstall.core.model.Producer;
import dev.toucanstall.core.model.RequestKey;
import dev.toucanstall.core.model.TeamId;
import dev.toucanstall.core.peer.ClaimVote;
import dev.toucanstall.core.peer.PeerMessage;
import dev.toucanstall.core.peer.PoolLoad;
import dev.toucanstall.core.peer.SlotKey;
import dev.toucanstall.core.record.LogEntry;
import dev.toucanstall.core.record.RecordBody;
import dev.toucanstall.wire.Decoded;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

final class PeerCodecTest {

  private static final SlotKey TEAM = new SlotKey.OfTeam(new TeamId("t"));
  private static final RequestKey KEY = new RequestKey(new TeamId("t"), "id-1");

  private static List<PeerMessage> messages() {
    return List.of(
        new PeerMessage.Heartbeat(
            Long.MAX_VALUE,
            -5,
            10,
            Long.MIN_VALUE,
            3,
            2,
            List.of(new InstanceId("w1"), new InstanceId("w2")),
            77,
            10),
        new PeerMessage.LoanAsked(1, TEAM, 2),
        new PeerMessage.LoanAsked(1, new SlotKey.OfInstance(new InstanceId("w1")), 2),
        new PeerMessage.LoanAnswered(1, TEAM, 0),
        new PeerMessage.LoanReturned(1, TEAM),
        new PeerMessage.ClaimAsked(4, KEY),
        new PeerMessage.ClaimAnswered(4, KEY, ClaimVote.UNSURE),
        new PeerMessage.ClaimReleased(4, KEY),
        new PeerMessage.RecordsAsked(9),
        new PeerMessage.RecordsGiven(
            List.of(
                new LogEntry(
                    9, new Producer("e1", 1), 2, new RecordBody.MembershipAcknowledged(8)))),
        new PeerMessage.CancelPassed(KEY),
        new PeerMessage.LoadsReported(List.of(new PoolLoad(new PoolId("p"), 3, 4))));
  }

  @Test
  void everyMessageRoundTrips() {
    for (PeerMessage message : messages()) {
      assertThat(PeerCodec.decode(PeerCodec.encode(message)))
          .isEqualTo(new Decoded.Value<>(message));
    }
  }

  @Test
  void heartbeatTakesLessThanHundredBytes() {
    assertThat(PeerCodec.encode(messages().get(0)).length).isLessThan(100);
  }

  @Test
  void emptyFrameAndNilAreMalformed() {
    assertThat(PeerCodec.decode(new byte[0])).isInstanceOf(Decoded.Malformed.class);
    assertThat(PeerCodec.decode(new byte[] {(byte) 0xc0})).isInstanceOf(Decoded.Malformed.class);
  }

  @Property(tries = 3_000, seed = "12")
  void randomBytesNeverThrow(@ForAll @Size(max = 64) byte[] bytes) {
    assertThat(PeerCodec.decode(bytes)).isNotNull();
  }

  @Property(tries = 5_000, seed = "13")
  void mutatedMessagesNeverThrow(
      @ForAll @IntRange(max = 11) int kind,
      @ForAll @IntRange(max = 200) int position,
      @ForAll byte replacement) {
    byte[] bytes = PeerCodec.encode(messages().get(kind));
    bytes[position % bytes.length] = replacement;

    assertThat(PeerCodec.decode(bytes)).isNotNull();
  }
}
