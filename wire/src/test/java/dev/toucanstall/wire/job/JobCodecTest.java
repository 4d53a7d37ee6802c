package dev.toucanstall.wire.job;

import static com.google.common.truth.Truth.assertThat;

import dev.toucanstall.core.job.JobAnswer;
import dev.toucanstall.core.job.JobCall;
import dev.toucanstall.core.job.JobPhase;
import dev.toucanstall.core.job.JobRecord;
import dev.toucanstall.core.job.JobSpec;
import dev.toucanstall.core.job.Resources;
import dev.toucanstall.core.job.StepSpec;
import dev.toucanstall.core.job.TaskPhase;
import dev.toucanstall.core.model.Address;
import dev.toucanstall.core.node.Leader;
import dev.toucanstall.core.node.NodeMessage;
import dev.toucanstall.wire.Decoded;
import dev.toucanstall.wire.json.Mappers;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

final class JobCodecTest {

  private static final JobSpec SPEC =
      new JobSpec(
          "text",
          List.of(
              new StepSpec(
                  4,
                  new Resources(500, 256, 1),
                  900,
                  List.of(),
                  true,
                  true,
                  true,
                  "label",
                  "r1-3",
                  2,
                  true,
                  true,
                  "image",
                  50,
                  true,
                  1)),
          3,
          1_000,
          50);

  static Stream<JobRecord> records() {
    return Stream.of(
        new JobRecord.Submitted("j", "q", "s", "a", 5, SPEC),
        new JobRecord.Progress(
            "j",
            JobPhase.RUNNING,
            0,
            List.of(
                new JobRecord.TaskProgress(
                    0, 1, 2, TaskPhase.ORDERED, 3, "i-1", "10.0.0.1:80", 7, 1, "saved"))),
        new JobRecord.Closed("j", "q", JobPhase.CANCELLED, 9),
        new JobRecord.Forgotten("j"),
        new JobRecord.WaveProgress(1, List.of("m-1")),
        new JobRecord.OpenMoves(List.of(new JobRecord.MachineMove("m-1", "s", "i-1"))));
  }

  static Stream<NodeMessage> messages() {
    return Stream.concat(
        Stream.of(
                new JobCall.Submit("j", "q", "a", SPEC),
                new JobCall.Show("j", "q"),
                new JobCall.Cancel("j", "q"),
                new JobCall.Count("q"))
            .map(call -> new NodeMessage.Ask(1, call)),
        Stream.of(
            new NodeMessage.Reply(1, new JobAnswer.Accepted()),
            new NodeMessage.Reply(1, new JobAnswer.Shown(JobPhase.FAILED)),
            new NodeMessage.Reply(1, new JobAnswer.Counted(3)),
            new NodeMessage.Reply(1, new JobAnswer.Refused(JobAnswer.Reason.NO_PLANNER, 1_000)),
            new NodeMessage.NotPlanner(1, true),
            new NodeMessage.Alive(),
            new NodeMessage.Ping(0.36),
            new NodeMessage.Pong(true, false)));
  }

  @ParameterizedTest
  @MethodSource("records")
  void recordIsReadAsItWasWritten(JobRecord record) {
    assertThat(JobCodec.RECORDS.decode(JobCodec.RECORDS.encode(record)))
        .isEqualTo(new Decoded.Value<>(record));
  }

  @ParameterizedTest
  @MethodSource("messages")
  void messageIsReadAsItWasWritten(NodeMessage message) {
    assertThat(JobCodec.MESSAGES.decode(JobCodec.MESSAGES.encode(message)))
        .isEqualTo(new Decoded.Value<>(message));
  }

  @Test
  void plannerIsReadAsItWasWritten() {
    Leader leader = new Leader(7, "n1", new Address("10.0.0.1", 7000));
    assertThat(JobCodec.LEADERS.decode(JobCodec.LEADERS.encode(leader)))
        .isEqualTo(new Decoded.Value<>(leader));
  }

  @Test
  void otherBytesAreMalformed() {
    assertThat(JobCodec.RECORDS.decode(new byte[] {1, 2, 3})).isInstanceOf(Decoded.Malformed.class);
    assertThat(JobCodec.MESSAGES.decode(new byte[0])).isInstanceOf(Decoded.Malformed.class);
  }

  private static JobRecord.Progress wideJob() {
    return new JobRecord.Progress(
        "job-1234567",
        JobPhase.RUNNING,
        0,
        IntStream.range(0, 13).mapToObj(i -> i < 6 ? bound(i) : done(i)).toList());
  }

  private static JobRecord.TaskProgress bound(int index) {
    return new JobRecord.TaskProgress(
        0,
        1,
        index,
        TaskPhase.RUNNING,
        1,
        "preview-api-hk-a-12",
        "10.12.34.56:12345",
        1_764_800_000_000L,
        0,
        "");
  }

  private static JobRecord.TaskProgress done(int index) {
    return new JobRecord.TaskProgress(0, 0, index, TaskPhase.DONE, 1, "", "", 0, 0, "");
  }

  // Guards against appends that waited because the records of tasks filled the planner's link.
  @Test
  void recordsOfWideJobsLeaveHalfOfSmallLinksFree() {
    int bytesPerS = 7_000_000 / Byte.SIZE / 2;
    int recordsPerS = 800; // 600 starts and as many ends a second, of which appends join some
    assertThat(JobCodec.RECORDS.encode(wideJob()).length).isAtMost(bytesPerS / recordsPerS);
  }

  // Guards against jobs that are forgotten because an earlier version stored them.
  @Test
  void recordThatAnEarlierVersionStoredIsRead() throws Exception {
    JobRecord record = wideJob();
    byte[] stored =
        Mappers.forLegacyMessagePack().writerFor(JobRecord.class).writeValueAsBytes(record);
    assertThat(JobCodec.RECORDS.decode(stored)).isEqualTo(new Decoded.Value<>(record));
  }
}
