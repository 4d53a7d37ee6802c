package dev.toucanstall.runtime.loop;

/**
 * A reducer: a pure function of state and event.
 *
 * @param <S> the state
 * @param <E> the events
 * @param <F> the effects
 */
@FunctionalInterface
public interface Decider<S, E, F> {

  /**
   * Decides on an event.
   *
   * @param state the state before it
   * @param event the event
   * @return the state after it and the effects
   */
  Decision<S, F> decide(S state, E event);
}
