package dev.toucanstall.runtime.loop;

/**
 * Told of each event once it has been handled, on the control thread; must not block. All times are
 * those of {@link System#nanoTime}.
 *
 * @param <S> the state
 * @param <E> the events
 */
@FunctionalInterface
public interface LoopObserver<S, E> {

  /**
   * Takes note of an event.
   *
   * @param state the state after it
   * @param event the event
   * @param postedNanos when it was queued; for a tick, when it was due
   * @param begunNanos when its decision began
   * @param decidedNanos when its decision was there
   * @param endedNanos when its effects were handed over
   */
  void eventHandled(
      S state, E event, long postedNanos, long begunNanos, long decidedNanos, long endedNanos);
}
