package dev.toucanstall.runtime.loop;

/**
 * Receives each event that a {@link ControlLoop} has handled, on the thread of the loop; must not
 * block. All times are in nanoseconds of {@link System#nanoTime}.
 *
 * @param <S> the type of the state
 * @param <E> the type of the events
 */
@FunctionalInterface
public interface LoopObserver<S, E> {

  /**
   * Observes an event, also one whose decision or effects threw.
   *
   * @param state the state after the event
   * @param event the event
   * @param postedNanos time at which the event was posted or, for a tick, was due
   * @param begunNanos time at which the decision began
   * @param decidedNanos time at which the decision was complete; {@code begunNanos} if it threw
   * @param endedNanos time at which the interpreter had taken the effects
   */
  void eventHandled(
      S state, E event, long postedNanos, long begunNanos, long decidedNanos, long endedNanos);
}
