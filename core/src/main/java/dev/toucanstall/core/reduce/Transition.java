package dev.toucanstall.core.reduce;

import dev.toucanstall.core.effect.Effect;
import dev.toucanstall.core.state.State;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.function.UnaryOperator;

/**
 * Result of reducing an event: the next state and the effects to carry out. Immutable.
 *
 * @param state the next state
 * @param effects the effects in the order in which they are carried out, may be empty
 */
public record Transition(State state, List<Effect> effects) {

  /**
   * Returns a transition without effects.
   *
   * @param state the next state
   * @return the transition
   */
  public static Transition of(State state) {
    return new Transition(state, List.of());
  }

  /**
   * Returns a transition with effects.
   *
   * @param state the next state
   * @param effects the effects, in order
   * @return the transition
   */
  public static Transition of(State state, Effect... effects) {
    return new Transition(state, List.of(effects));
  }

  /**
   * Applies a further rule to the next state and appends its effects.
   *
   * @param rule the rule, given the state of this transition
   * @return the state of the rule, with the effects of both
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
   * Changes the next state and keeps the effects.
   *
   * @param change the change of the state
   * @return the new transition
   */
  public Transition mapState(UnaryOperator<State> change) {
    return new Transition(change.apply(state), effects);
  }

  /**
   * Appends an effect.
   *
   * @param effect the effect
   * @return the new transition
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
