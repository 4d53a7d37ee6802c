package dev.toucanstall.cli.flow;

import dev.toucanstall.core.effect.OperatorAnswer;
import dev.toucanstall.core.event.OperatorRequest;
import dev.toucanstall.runtime.loop.Decision;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Stream;

/**
 * State of the command line's reducer, as a continuation: a function that takes the next event of a
 * running command. Implementations are lambdas without side effects.
 */
@FunctionalInterface
public interface Flow {

  /**
   * Handles the next event of the command.
   *
   * @return the next state and the effects to carry out
   */
  Decision<Flow, CliEffect> onEvent(CliEvent event);

  /** Reducer of the command line: applies the state to the event. */
  static Decision<Flow, CliEffect> reduce(Flow state, CliEvent event) {
    return state.onEvent(event);
  }

  /**
   * Sends a request to an entry instance. Without an answer the command exits with {@link
   * ExitStatus#UNCERTAIN} if the request may have taken effect, else with {@link
   * ExitStatus#UNREACHABLE}.
   *
   * @param onAnswer decides on the answer
   */
  static Decision<Flow, CliEffect> request(
      OperatorRequest request, Function<OperatorAnswer, Decision<Flow, CliEffect>> onAnswer) {
    Flow next =
        event ->
            switch (event) {
              case CliEvent.Answered answered -> onAnswer.apply(answered.answer());
              case CliEvent.Unanswered unanswered -> unanswered(unanswered);
              default -> exit(ExitStatus.UNREACHABLE);
            };
    return Decision.of(next, new CliEffect.SendRequest(request));
  }

  private static Decision<Flow, CliEffect> unanswered(CliEvent.Unanswered unanswered) {
    return unanswered.mayHaveRun()
        ? printAndExit(
            unanswered.reason() + "; the command may have taken effect", ExitStatus.UNCERTAIN)
        : printAndExit(unanswered.reason(), ExitStatus.UNREACHABLE);
  }

  /**
   * Ends the command with an exit status.
   *
   * @param preceding effects that are carried out before, in order
   */
  static Decision<Flow, CliEffect> exit(int status, CliEffect... preceding) {
    Flow exited = event -> exit(status);
    return new Decision<>(
        exited,
        Stream.concat(Stream.of(preceding), Stream.of(new CliEffect.Exit(status))).toList());
  }

  /** Prints a text and ends the command with an exit status. */
  static Decision<Flow, CliEffect> printAndExit(String text, int status) {
    return exit(status, new CliEffect.Print(text));
  }

  /**
   * Prints an answer and ends the command: with {@link ExitStatus#REFUSED} after a rejection, with
   * {@link ExitStatus#UNCERTAIN} if a change may have been accepted.
   */
  static Decision<Flow, CliEffect> showAndExit(OperatorAnswer answer) {
    return switch (answer) {
      case OperatorAnswer.Rejected rejected ->
          printAndExit("refused: " + rejected.why(), ExitStatus.REFUSED);
      case OperatorAnswer.Uncertain uncertain ->
          printAndExit(
              "may have taken effect; ask again with: toucanstall change " + uncertain.change(),
              ExitStatus.UNCERTAIN);
      default -> exit(ExitStatus.SUCCESS, new CliEffect.Show(answer));
    };
  }

  /**
   * Sleeps, then continues.
   *
   * @param millis time to sleep, in milliseconds
   * @param afterSleep decides when the time has passed
   * @param preceding effects that are carried out before, in order
   */
  static Decision<Flow, CliEffect> sleep(
      long millis, Supplier<Decision<Flow, CliEffect>> afterSleep, CliEffect... preceding) {
    Flow next = event -> afterSleep.get();
    return new Decision<>(
        next, Stream.concat(Stream.of(preceding), Stream.of(new CliEffect.Sleep(millis))).toList());
  }
}
