package dev.toucanstall.cli.flow;

import dev.toucanstall.core.effect.OperatorAnswer;
import dev.toucanstall.core.event.OperatorRequest;
import dev.toucanstall.runtime.loop.Decision;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Stream;

/**
 * What a command does next: the state of the command line's reducer is the function that takes the
 * next event. Implementations are lambdas without side effects.
 */
@FunctionalInterface
public interface Flow {

  /**
   * Decides on an event.
   *
   * @param event the event
   * @return the next flow and the effects
   */
  Decision<Flow, CliEffect> on(CliEvent event);

  /**
   * The reducer of the command line.
   *
   * @param state what the command does next
   * @param event the event
   * @return the next flow and the effects
   */
  static Decision<Flow, CliEffect> reduce(Flow state, CliEvent event) {
    return state.on(event);
  }

  /**
   * Asks an entry instance and goes on with its answer.
   *
   * @param request what is asked
   * @param then goes on
   * @return the decision
   */
  static Decision<Flow, CliEffect> ask(
      OperatorRequest request, Function<OperatorAnswer, Decision<Flow, CliEffect>> then) {
    Flow next =
        event ->
            switch (event) {
              case CliEvent.Answered answered -> then.apply(answered.answer());
              case CliEvent.Unanswered unanswered -> unanswered(unanswered);
              default -> end(ExitStatus.UNREACHABLE);
            };
    return Decision.of(next, new CliEffect.Ask(request));
  }

  private static Decision<Flow, CliEffect> unanswered(CliEvent.Unanswered unanswered) {
    return unanswered.mayHaveRun()
        ? say(unanswered.why() + "; the command may have taken effect", ExitStatus.UNCERTAIN)
        : say(unanswered.why(), ExitStatus.UNREACHABLE);
  }

  /**
   * Ends the command with a status.
   *
   * @param status the exit status
   * @param before what is done before
   * @return the decision
   */
  static Decision<Flow, CliEffect> end(int status, CliEffect... before) {
    Flow ended = event -> end(status);
    return new Decision<>(
        ended, Stream.concat(Stream.of(before), Stream.of(new CliEffect.Exit(status))).toList());
  }

  /**
   * Prints a text and ends the command.
   *
   * @param text the text
   * @param status the exit status
   * @return the decision
   */
  static Decision<Flow, CliEffect> say(String text, int status) {
    return end(status, new CliEffect.Print(text));
  }

  /**
   * Shows an answer and ends the command; a rejection ends it as refused.
   *
   * @param answer the answer
   * @return the decision
   */
  static Decision<Flow, CliEffect> show(OperatorAnswer answer) {
    return switch (answer) {
      case OperatorAnswer.Rejected rejected ->
          say("refused: " + rejected.why(), ExitStatus.REFUSED);
      case OperatorAnswer.Uncertain uncertain ->
          say(
              "may have taken effect; ask again with: toucanstall change " + uncertain.change(),
              ExitStatus.UNCERTAIN);
      default -> end(ExitStatus.DONE, new CliEffect.Show(answer));
    };
  }

  /**
   * Waits and goes on.
   *
   * @param millis how long
   * @param then goes on
   * @param before what is done before
   * @return the decision
   */
  static Decision<Flow, CliEffect> sleep(
      long millis, Supplier<Decision<Flow, CliEffect>> then, CliEffect... before) {
    Flow next = event -> then.get();
    return new Decision<>(
        next, Stream.concat(Stream.of(before), Stream.of(new CliEffect.Sleep(millis))).toList());
  }
}
