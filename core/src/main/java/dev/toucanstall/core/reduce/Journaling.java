package dev.toucanstall.core.reduce;

import dev.toucanstall.core.effect.Effect;
import dev.toucanstall.core.state.Decisions.Decision;
import dev.toucanstall.core.state.State;
import dev.toucanstall.core.state.State.Journal;

/** Records decisions so that operators can query the reasons for them. Stateless. */
final class Journaling {

  private Journaling() {}

  /**
   * Records a decision in the state and writes it to the process log.
   *
   * @param state the state
   * @param now time of the decision, in nanoseconds of the monotonic clock
   * @param subject what the decision is about, such as "instance/a1"
   * @param rule name of the rule that was followed
   * @param text description of the decision for operators
   */
  static Step decide(State state, long now, String subject, String rule, String text) {
    Decision decision = new Decision(now, subject, rule, state.folded().offset(), text);
    Journal journal =
        new Journal(state.journal().decisions().plus(decision), state.journal().unknownNames());
    return Step.of(state.withJournal(journal), new Effect.LogDecision(subject, rule, text));
  }
}
