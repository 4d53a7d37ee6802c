package dev.toucanstall.core.reduce;

import dev.toucanstall.core.effect.Effect;
import dev.toucanstall.core.state.Decisions.Decision;
import dev.toucanstall.core.state.State;
import dev.toucanstall.core.state.State.Diagnostics;

/** Records decisions for operators who ask why. Stateless. */
final class Journaling {

  private Journaling() {}

  /** Records a decision and writes it to the log of the process. */
  static Transition decide(State state, long now, String subject, String rule, String text) {
    Decision decision = new Decision(now, subject, rule, state.appliedState().offset(), text);
    Diagnostics journal =
        new Diagnostics(
            state.diagnostics().decisions().plus(decision), state.diagnostics().unknownNames());
    return Transition.of(
        state.withDiagnostics(journal), new Effect.LogDecision(subject, rule, text));
  }
}
