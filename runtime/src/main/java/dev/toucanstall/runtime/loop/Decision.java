package dev.toucanstall.runtime.loop;

import java.util.List;

/**
 * What a reducer decides.
 *
 * @param <S> the state
 * @param <F> the effects
 * @param state the next state
 * @param effects what is to be carried out, in order
 */
public record Decision<S, F>(S state, List<F> effects) {

  /**
   * Makes a decision with effects.
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
