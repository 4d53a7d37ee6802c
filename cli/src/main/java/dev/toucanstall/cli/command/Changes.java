package dev.toucanstall.cli.command;

import dev.toucanstall.cli.flow.CliEffect;
import dev.toucanstall.cli.flow.ExitStatus;
import dev.toucanstall.cli.flow.Flow;
import dev.toucanstall.core.effect.OperatorAnswer;
import dev.toucanstall.core.event.OperatorRequest;
import dev.toucanstall.core.settings.Assignment;
import dev.toucanstall.core.settings.Schema;
import dev.toucanstall.core.settings.SettingsPath;
import dev.toucanstall.core.settings.SettingsTree;
import dev.toucanstall.runtime.loop.Decision;
import java.util.List;
import java.util.Optional;
import java.util.UUID;

/** Changes settings: reads the version of the subtree, writes the change, waits. Stateless. */
final class Changes {

  private static final long POLL_MILLIS = 100;
  private static final int MOST_POLLS = 200;

  private Changes() {}

  /**
   * How a change is made.
   *
   * @param author who makes it
   * @param waitInForce whether to wait until it is in force everywhere
   */
  record Manner(String author, boolean waitInForce) {}

  /** Checks assignments and writes them as one change of the subtree that holds them all. */
  static Decision<Flow, CliEffect> write(List<Assignment> assignments, Manner manner) {
    Optional<String> problem =
        assignments.stream().flatMap(a -> Schema.validationError(a).stream()).findFirst();
    if (problem.isPresent()) {
      return Flow.say("refused: " + problem.get(), ExitStatus.REFUSED);
    }
    String subtree = subtreeOf(assignments);
    return Flow.ask(
        new OperatorRequest.ShowSettings(subtree),
        answer ->
            answer instanceof OperatorAnswer.SettingsShown shown
                ? writeAt(subtree, shown.version(), assignments, manner)
                : Flow.show(answer));
  }

  private static String subtreeOf(List<Assignment> assignments) {
    SettingsPath common = SettingsPath.parse(assignments.get(0).path());
    common = common.prefix(SettingsTree.VERSION_DEPTH);
    for (Assignment assignment : assignments) {
      SettingsPath path = SettingsPath.parse(assignment.path());
      while (!path.isWithin(common)) {
        common = common.parent().orElse(SettingsPath.ROOT);
      }
    }
    return common.toString();
  }

  /** Writes assignments against a version of a subtree. */
  static Decision<Flow, CliEffect> writeAt(
      String subtree, long base, List<Assignment> assignments, Manner manner) {
    String change = "change-" + UUID.randomUUID();
    OperatorRequest request =
        new OperatorRequest.ChangeSettings(change, subtree, base, manner.author(), assignments);
    return Flow.ask(request, answer -> written(answer, manner));
  }

  private static Decision<Flow, CliEffect> written(OperatorAnswer answer, Manner manner) {
    return answer instanceof OperatorAnswer.Accepted accepted && manner.waitInForce()
        ? awaitInForce(accepted.offset(), 0)
        : Flow.show(answer);
  }

  private static Decision<Flow, CliEffect> awaitInForce(long offset, int polls) {
    return Flow.ask(
        new OperatorRequest.ShowInForce(offset), answer -> inForce(answer, offset, polls));
  }

  private static Decision<Flow, CliEffect> inForce(OperatorAnswer answer, long offset, int polls) {
    if (!(answer instanceof OperatorAnswer.InForceShown shown)) {
      return Flow.show(answer);
    }
    if (shown.inForce()) {
      return Flow.show(shown);
    }
    return polls >= MOST_POLLS
        ? Flow.end(
            ExitStatus.UNCERTAIN,
            new CliEffect.Show(shown),
            new CliEffect.Print("accepted, but not in force everywhere yet"))
        : Flow.sleep(POLL_MILLIS, () -> awaitInForce(offset, polls + 1));
  }
}
