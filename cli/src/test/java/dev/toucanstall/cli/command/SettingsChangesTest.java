package dev.toucanstall.cli.command;

import static com.google.common.truth.Truth.assertThat;

import dev.toucanstall.cli.flow.CliEffect;
import dev.toucanstall.cli.flow.CliEvent;
import dev.toucanstall.cli.flow.ExitStatus;
import dev.toucanstall.cli.flow.Flow;
import dev.toucanstall.core.effect.OperatorAnswer;
import dev.toucanstall.core.event.OperatorRequest;
import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.settings.Assignment;
import dev.toucanstall.runtime.loop.Decision;
import java.util.List;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

final class SettingsChangesTest {

  private static Decision<Flow, CliEffect> write(boolean wait, Assignment... assignments) {
    return SettingsChanges.write(
        List.of(assignments), new SettingsChanges.WriteOptions("ann", wait));
  }

  private static Decision<Flow, CliEffect> answer(
      Decision<Flow, CliEffect> decision, OperatorAnswer answer) {
    return Flow.reduce(decision.state(), new CliEvent.Answered(answer));
  }

  private static OperatorRequest request(Decision<Flow, CliEffect> decision) {
    return decision.effects().stream()
        .filter(effect -> effect instanceof CliEffect.SendRequest)
        .map(effect -> ((CliEffect.SendRequest) effect).request())
        .findFirst()
        .orElseThrow();
  }

  private static int exitStatus(Decision<Flow, CliEffect> decision) {
    return decision.effects().stream()
        .filter(effect -> effect instanceof CliEffect.Exit)
        .mapToInt(effect -> ((CliEffect.Exit) effect).status())
        .findFirst()
        .orElse(-1);
  }

  private static OperatorAnswer shown(long version) {
    return new OperatorAnswer.SettingsShown("/teams/a", version, new TreeMap<>());
  }

  @Test
  void malformedValueIsRefusedWithoutRequest() {
    assertThat(exitStatus(write(false, new Assignment("/teams/a/share", "x"))))
        .isEqualTo(ExitStatus.REFUSED);
  }

  @Test
  void changeNamesTheVersionThatWasRead() {
    var read = write(false, new Assignment("/teams/a/share", "2"));
    assertThat(request(read)).isEqualTo(new OperatorRequest.ShowSettings("/teams/a"));

    var written = answer(read, shown(17));
    assertThat(((OperatorRequest.ChangeSettings) request(written)).base()).isEqualTo(17);
  }

  @Test
  void assignmentsOfTwoTeamsAreOneChangeOfTheirParent() {
    var read =
        write(false, new Assignment("/teams/a/share", "2"), new Assignment("/teams/b/share", "2"));

    assertThat(request(read)).isEqualTo(new OperatorRequest.ShowSettings("/teams"));
  }

  @Test
  void conflictIsRefused() {
    var written = answer(write(false, new Assignment("/teams/a/share", "2")), shown(1));

    assertThat(exitStatus(answer(written, new OperatorAnswer.Rejected("read at version 1"))))
        .isEqualTo(ExitStatus.REFUSED);
  }

  @Test
  void lostAnswerIsUncertain() {
    var written = answer(write(false, new Assignment("/teams/a/share", "2")), shown(1));

    assertThat(exitStatus(Flow.reduce(written.state(), new CliEvent.Unanswered("gone", true))))
        .isEqualTo(ExitStatus.UNCERTAIN);
  }

  @Test
  void waitEndsWhenTheChangeIsInForce() {
    var written = answer(write(true, new Assignment("/teams/a/share", "2")), shown(1));
    var first = answer(written, new OperatorAnswer.Accepted(5));
    assertThat(request(first)).isEqualTo(new OperatorRequest.ShowInForce(5));

    List<MemberId> lagging = List.of(new MemberId("e2"));
    var waiting = answer(first, new OperatorAnswer.InForceShown(5, List.of(), lagging, false));
    assertThat(exitStatus(waiting)).isEqualTo(-1);
    var secondPoll = Flow.reduce(waiting.state(), new CliEvent.SleepElapsed());
    var done = answer(secondPoll, new OperatorAnswer.InForceShown(5, lagging, List.of(), true));
    assertThat(exitStatus(done)).isEqualTo(ExitStatus.SUCCESS);
  }
}
