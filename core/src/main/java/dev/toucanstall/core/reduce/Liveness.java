package dev.toucanstall.core.reduce;

import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.model.Rendezvous;
import dev.toucanstall.core.state.State;
import java.util.Set;
import java.util.TreeSet;

/** Says which members answer now, and who of them goes first. Stateless. */
final class Liveness {

  private static final int SILENT_HEARTBEATS = 4;

  private Liveness() {}

  /** Returns the settled members that answered within the last heartbeats, this one included. */
  static Set<MemberId> live(State state, long now) {
    long patience = SILENT_HEARTBEATS * state.localMember().timing().heartbeatInterval();
    Set<MemberId> live = new TreeSet<>();
    for (MemberId member : state.appliedState().membership().active().keySet()) {
      boolean answers =
          member.equals(state.localId())
              || now - state.peers().getOrInitial(member, 0).lastReceivedAt() <= patience;
      if (answers) {
        live.add(member);
      }
    }
    return live;
  }

  /** Tells whether this instance goes first for a subject among those that answer. */
  static boolean leads(State state, String subject, long now) {
    return state.isMember() && Rendezvous.position(subject, live(state, now), state.localId()) == 0;
  }
}
