package dev.toucanstall.core.reduce;

import dev.toucanstall.core.event.Event;
import dev.toucanstall.core.state.State;

/**
 * The one reducer over all events. Pure: no I/O, no clock, no randomness; time comes in with the
 * event, and what is to be done comes out as effects.
 */
public final class Reducer {

  private Reducer() {}

  /**
   * Decides on an event.
   *
   * @param state the state before it
   * @param event the event
   * @return the state after it and the effects
   * @throws Invariants.Violation if a promise would be broken
   */
  public static Transition reduce(State state, Event event) {
    return switch (event) {
      case Event.OfRequest ofRequest -> RequestReducer.reduce(state, ofRequest);
      case Event.OfPeer ofPeer -> PeerReducer.reduce(state, ofPeer);
      case Event.OfLog ofLog -> LogReducer.reduce(state, ofLog);
      case Event.OfFleet ofFleet -> FleetReducer.reduce(state, ofFleet);
      case Event.OfOperator ofOperator -> OperatorReducer.reduce(state, ofOperator);
      case Event.OfLife ofLife -> LifeReducer.reduce(state, ofLife);
    };
  }
}
