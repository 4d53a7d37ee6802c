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
   * @param subject thing that the decision concerns, such as "instance/a1"
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
