package dev.toucanstall.cli.flow;

import dev.toucanstall.core.effect.OperatorAnswer;
import dev.toucanstall.wire.report.BurnReport;
import java.util.List;

/** Event of a running command. */
public sealed interface CliEvent {

  /** The command starts. */
  record Started() implements CliEvent {}

  /**
   * An entry instance answered a request.
   *
   * @param answer decoded body of the answer
   */
  record Answered(OperatorAnswer answer) implements CliEvent {}

  /**
   * No entry instance answered.
   *
   * @param reason one sentence for the operator
   * @param mayHaveRun whether the request may have taken effect; false for one that only reads
   */
  record Unanswered(String reason, boolean mayHaveRun) implements CliEvent {}

  /**
   * The burn reports of the entry instances were fetched.
   *
   * @param reports reports of the entry instances that answered
   * @param unreachable URLs of the entry instances that sent no readable report
   */
  record BurnReportsReceived(List<BurnReport> reports, List<String> unreachable)
      implements CliEvent {

    /** Copies both lists. */
    public BurnReportsReceived {
      reports = List.copyOf(reports);
      unreachable = List.copyOf(unreachable);
    }
  }

  /** The time of a {@link CliEffect.Sleep} has passed. */
  record SleepElapsed() implements CliEvent {}
}
