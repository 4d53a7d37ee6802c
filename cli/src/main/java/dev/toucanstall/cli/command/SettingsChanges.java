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

/**
 * Changes settings by optimistic concurrency: reads the version of the subtree, writes the change
 * against it, and waits until it is in force if requested. Stateless.
 */
final class SettingsChanges {

  private static final long POLL_INTERVAL_MILLIS = 100;
  private static final int MAX_POLLS = 200;

  private SettingsChanges() {}

  /**
   * Options of a change.
   *
   * @param author name of the operator, for the history
   * @param waitInForce whether the command waits until the change is in force on all entry
   *     instances
   */
  record WriteOptions(String author, boolean waitInForce) {}

  /** Validates assignments and writes them as one change of their common subtree. */
  static Decision<Flow, CliEffect> write(List<Assignment> assignments, WriteOptions options) {
    Optional<String> problem =
        assignments.stream().flatMap(a -> Schema.validationError(a).stream()).findFirst();
    if (problem.isPresent()) {
      return Flow.printAndExit("refused: " + problem.get(), ExitStatus.REFUSED);
    }
    String subtree = commonSubtree(assignments);
    return Flow.request(
        new OperatorRequest.ShowSettings(subtree),
        answer ->
            answer instanceof OperatorAnswer.SettingsShown shown
                ? writeAtVersion(subtree, shown.version(), assignments, options)
                : Flow.showAndExit(answer));
  }

  private static String commonSubtree(List<Assignment> assignments) {
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

  /** Writes assignments that are valid only for one version of the subtree. */
  static Decision<Flow, CliEffect> writeAtVersion(
      String subtree, long baseVersion, List<Assignment> assignments, WriteOptions options) {
    String change = "change-" + UUID.randomUUID();
    OperatorRequest request =
        new OperatorRequest.ChangeSettings(
            change, subtree, baseVersion, options.author(), assignments);
    return Flow.request(request, answer -> onWriteAnswer(answer, options));
  }

  private static Decision<Flow, CliEffect> onWriteAnswer(
      OperatorAnswer answer, WriteOptions options) {
    return answer instanceof OperatorAnswer.Accepted accepted && options.waitInForce()
        ? awaitInForce(accepted.offset(), 0)
        : Flow.showAndExit(answer);
  }

  private static Decision<Flow, CliEffect> awaitInForce(long offset, int polls) {
    return Flow.request(
        new OperatorRequest.ShowInForce(offset), answer -> onInForceAnswer(answer, offset, polls));
  }

  private static Decision<Flow, CliEffect> onInForceAnswer(
      OperatorAnswer answer, long offset, int polls) {
    if (!(answer instanceof OperatorAnswer.InForceShown shown)) {
      return Flow.showAndExit(answer);
    }
    if (shown.inForce()) {
      return Flow.showAndExit(shown);
    }
    return polls >= MAX_POLLS
        ? Flow.exit(
            ExitStatus.UNCERTAIN,
            new CliEffect.Show(shown),
            new CliEffect.Print("accepted, but not in force everywhere yet"))
        : Flow.sleep(POLL_INTERVAL_MILLIS, () -> awaitInForce(offset, polls + 1));
  }
}
