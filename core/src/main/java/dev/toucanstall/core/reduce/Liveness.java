package dev.toucanstall.core.reduce;

import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.model.Rendezvous;
import dev.toucanstall.core.state.State;
import java.util.Set;
import java.util.TreeSet;

/** Determines which members are responsive, and which of them coordinates a subject. Stateless. */
final class Liveness {

  /** Heartbeat intervals without a heartbeat after which a member counts as unresponsive. */
  private static final int SILENT_HEARTBEATS = 4;

  private Liveness() {}

  /**
   * Returns the active members that were heard from within the last heartbeat intervals. This entry
   * instance is included if it is an active member.
   */
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

  /**
   * Tells whether this entry instance coordinates a subject, which is the case for the responsive
   * member that rendezvous hashing ranks first.
   *
   * <p>Members that disagree on who is responsive may coordinate the same subject for a time.
   */
  static boolean leads(State state, String subject, long now) {
    return state.isMember() && Rendezvous.position(subject, live(state, now), state.localId()) == 0;
  }
}
