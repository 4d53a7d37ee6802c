package dev.toucanstall.cli.flow;

import dev.toucanstall.core.effect.OperatorAnswer;
import dev.toucanstall.wire.report.BurnReport;
import java.util.List;

/** What happens to a command. */
public sealed interface CliEvent {

  /** The command starts. */
  record Started() implements CliEvent {}

  /**
   * An entry instance answered.
   *
   * @param answer the answer
   */
  record Answered(OperatorAnswer answer) implements CliEvent {}

  /**
   * No entry instance answered.
   *
   * @param why one sentence
   * @param mayHaveRun whether the request may have reached one
   */
  record Unanswered(String why, boolean mayHaveRun) implements CliEvent {}

  /**
   * The parts of the burn report arrived.
   *
   * @param parts the parts of the entry instances that answered
   * @param missing the entry instances that did not
   */
  record BurnArrived(List<BurnReport> parts, List<String> missing) implements CliEvent {

    /** Creates the event. */
    public BurnArrived {
      parts = List.copyOf(parts);
      missing = List.copyOf(missing);
    }
  }

  /** A wait is over. */
  record Woken() implements CliEvent {}
}
