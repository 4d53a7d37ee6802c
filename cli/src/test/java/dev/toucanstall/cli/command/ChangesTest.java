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

final class ChangesTest {

  private static Decision<Flow, CliEffect> write(boolean wait, Assignment... assignments) {
    return Changes.write(List.of(assignments), new Changes.Manner("ann", wait));
  }

  private static Decision<Flow, CliEffect> answer(
      Decision<Flow, CliEffect> before, OperatorAnswer answer) {
    return Flow.reduce(before.state(), new CliEvent.Answered(answer));
  }

  private static OperatorRequest asked(Decision<Flow, CliEffect> decision) {
    return decision.effects().stream()
        .filter(effect -> effect instanceof CliEffect.Ask)
        .map(effect -> ((CliEffect.Ask) effect).request())
        .findFirst()
        .orElseThrow();
  }

  private static int status(Decision<Flow, CliEffect> decision) {
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
  void malformedValueIsRefusedWithoutAsking() {
    assertThat(status(write(false, new Assignment("/teams/a/share", "x"))))
        .isEqualTo(ExitStatus.REFUSED);
  }

  @Test
  void changeNamesTheVersionThatWasRead() {
    var read = write(false, new Assignment("/teams/a/share", "2"));
    assertThat(asked(read)).isEqualTo(new OperatorRequest.ShowSettings("/teams/a"));

    var written = answer(read, shown(17));
    assertThat(((OperatorRequest.ChangeSettings) asked(written)).base()).isEqualTo(17);
  }

  @Test
  void assignmentsOfTwoTeamsAreOneChangeOfTheirParent() {
    var read =
        write(false, new Assignment("/teams/a/share", "2"), new Assignment("/teams/b/share", "2"));

    assertThat(asked(read)).isEqualTo(new OperatorRequest.ShowSettings("/teams"));
  }

  @Test
  void conflictIsRefused() {
    var written = answer(write(false, new Assignment("/teams/a/share", "2")), shown(1));

    assertThat(status(answer(written, new OperatorAnswer.Rejected("read at version 1"))))
        .isEqualTo(ExitStatus.REFUSED);
  }

  @Test
  void lostAnswerIsUncertain() {
    var written = answer(write(false, new Assignment("/teams/a/share", "2")), shown(1));

    assertThat(status(Flow.reduce(written.state(), new CliEvent.Unanswered("gone", true))))
        .isEqualTo(ExitStatus.UNCERTAIN);
  }

  @Test
  void waitGoesOnUntilTheChangeIsInForce() {
    var written = answer(write(true, new Assignment("/teams/a/share", "2")), shown(1));
    var first = answer(written, new OperatorAnswer.Accepted(5));
    assertThat(asked(first)).isEqualTo(new OperatorRequest.ShowInForce(5));

    List<MemberId> lack = List.of(new MemberId("e2"));
    var waiting = answer(first, new OperatorAnswer.InForceShown(5, List.of(), lack, false));
    assertThat(status(waiting)).isEqualTo(-1);
    var again = Flow.reduce(waiting.state(), new CliEvent.Woken());
    var done = answer(again, new OperatorAnswer.InForceShown(5, lack, List.of(), true));
    assertThat(status(done)).isEqualTo(ExitStatus.DONE);
  }
}
