package dev.toucanstall.runtime.loop;

import java.util.List;

/**
 * Result of a {@link Decider} for one event.
 *
 * @param <S> the type of the state
 * @param <F> the type of the effects
 * @param state the next state
 * @param effects the effects to carry out, in order
 */
public record Decision<S, F>(S state, List<F> effects) {

  /**
   * Creates a decision.
   *
   * @param state the next state
   * @param effects the effects
   * @return the decision
   */
  @SafeVarargs
  @SuppressWarnings("varargs")
  public static <S, F> Decision<S, F> of(S state, F... effects) {
    return new Decision<>(state, List.of(effects));
  }
}
