package dev.toucanstall.core.reduce;

import dev.toucanstall.core.effect.Effect;
import dev.toucanstall.core.state.Decisions.Decision;
import dev.toucanstall.core.state.State;
import dev.toucanstall.core.state.State.Diagnostics;

/** Records decisions so that operators can query the reasons for them. Stateless. */
final class DecisionRecorder {

  private DecisionRecorder() {}

  /**
   * Records a decision in the state and writes it to the process log.
   *
   * @param state the state
   * @param now time of the decision, in nanoseconds of the monotonic clock
   * @param subject what the decision is about, such as "instance/a1"
   * @param rule name of the rule that was followed
   * @param text description of the decision for operators
   */
  static Transition record(State state, long now, String subject, String rule, String text) {
    Decision decision = new Decision(now, subject, rule, state.appliedState().offset(), text);
    Diagnostics diagnostics =
        new Diagnostics(
            state.diagnostics().decisions().plus(decision), state.diagnostics().unknownNames());
    return Transition.of(
        state.withDiagnostics(diagnostics), new Effect.LogDecision(subject, rule, text));
  }
}
