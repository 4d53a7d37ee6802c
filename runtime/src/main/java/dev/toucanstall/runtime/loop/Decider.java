package dev.toucanstall.runtime.loop;

/**
 * Reducer of a {@link ControlLoop}: a pure function of state and event.
 *
 * @param <S> the type of the state
 * @param <E> the type of the events
 * @param <F> the type of the effects
 */
@FunctionalInterface
public interface Decider<S, E, F> {

  /**
   * Decides on an event.
   *
   * @param state the state before the event
   * @param event the event
   * @return the state after the event and the effects
   */
  Decision<S, F> decide(S state, E event);
}
