package dev.toucanstall.core.reduce;

import dev.toucanstall.core.effect.Effect;
import dev.toucanstall.core.state.State;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.function.UnaryOperator;

/**
 * The result of a decision: the next state and what is to be carried out, in order. Immutable.
 *
 * @param state the next state
 * @param effects the effects
 */
public record Transition(State state, List<Effect> effects) {

  /**
   * Makes a step without effects.
   *
   * @param state the state
   * @return the step
   */
  public static Transition of(State state) {
    return new Transition(state, List.of());
  }

  /**
   * Makes a step with effects.
   *
   * @param state the state
   * @param effects the effects
   * @return the step
   */
  public static Transition of(State state, Effect... effects) {
    return new Transition(state, List.of(effects));
  }

  /**
   * Goes on with another decision.
   *
   * @param rule the decision, made on this step's state
   * @return the step of both
   */
  public Transition then(Function<State, Transition> rule) {
    Transition next = rule.apply(state);
    if (effects.isEmpty()) {
      return next;
    }
    return next.effects.isEmpty()
        ? new Transition(next.state, effects)
        : new Transition(next.state, join(effects, next.effects));
  }

  /**
   * Goes on with a change of the state alone.
   *
   * @param change the change
   * @return the new step
   */
  public Transition map(UnaryOperator<State> change) {
    return new Transition(change.apply(state), effects);
  }

  /**
   * Adds an effect.
   *
   * @param effect the effect
   * @return the new step
   */
  public Transition plus(Effect effect) {
    return new Transition(
        state, effects.isEmpty() ? List.of(effect) : join(effects, List.of(effect)));
  }

  private static List<Effect> join(List<Effect> first, List<Effect> second) {
    List<Effect> all = new ArrayList<>(first.size() + second.size());
    all.addAll(first);
    all.addAll(second);
    return all;
  }
}
