package dev.toucanstall.core.reduce;

import dev.toucanstall.core.event.Event;
import dev.toucanstall.core.state.State;

/**
 * Reducer over all events of an entry instance.
 *
 * <p>Pure: it does no I/O, reads no clock and draws no random numbers. The time comes with the
 * event, and everything to be carried out is returned as effects. Each family of events has a
 * reducer of its own; this class selects it.
 */
public final class Reducer {

  private Reducer() {}

  /**
   * Applies an event to a state.
   *
   * @param state the state before the event
   * @param event the event
   * @return the state after the event and the effects to carry out
   * @throws Invariants.Violation if the transition would break an invariant
   */
  public static Transition reduce(State state, Event event) {
    return switch (event) {
      case Event.OfRequest ofRequest -> RequestReducer.reduce(state, ofRequest);
      case Event.OfPeer ofPeer -> PeerReducer.reduce(state, ofPeer);
      case Event.OfLog ofLog -> LogReducer.reduce(state, ofLog);
      case Event.OfFleet ofFleet -> FleetReducer.reduce(state, ofFleet);
      case Event.OfOperator ofOperator -> OperatorReducer.reduce(state, ofOperator);
      case Event.OfLife ofLife -> LifecycleReducer.reduce(state, ofLife);
    };
  }
}
