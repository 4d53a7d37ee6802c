package dev.toucanstall.core.reduce;

import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.model.Rendezvous;
import dev.toucanstall.core.state.State;
import java.util.Set;
import java.util.TreeSet;

/** Determines which members are responsive, and which of them coordinates a subject. Stateless. */
final class Liveness {

  /** Heartbeat intervals without a heartbeat after which a member counts as unresponsive. */
  private static final int MAX_MISSED_HEARTBEATS = 4;

  private Liveness() {}

  /** Returns the active members heard from lately, this entry instance included if active. */
  static Set<MemberId> responsiveMembers(State state, long now) {
    long timeout = MAX_MISSED_HEARTBEATS * state.localMember().timing().heartbeatInterval();
    Set<MemberId> members = new TreeSet<>();
    for (MemberId member : state.appliedState().membership().active().keySet()) {
      boolean responsive =
          member.equals(state.localId())
              || now - state.peers().getOrInitial(member, 0).lastReceivedAt() <= timeout;
      if (responsive) {
        members.add(member);
      }
    }
    return members;
  }

  /**
   * Tells whether this entry instance coordinates a subject, which is the case for the responsive
   * member that rendezvous hashing ranks first.
   *
   * <p>Members that disagree on who is responsive may coordinate the same subject for a time.
   */
  static boolean isCoordinator(State state, String subject, long now) {
    return state.isMember()
        && Rendezvous.position(subject, responsiveMembers(state, now), state.localId()) == 0;
  }
}
