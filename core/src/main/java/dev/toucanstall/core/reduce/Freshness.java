package dev.toucanstall.core.reduce;

import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.record.Member;
import dev.toucanstall.core.state.PeerView;
import dev.toucanstall.core.state.State;
import java.util.Arrays;
import java.util.Set;

/**
 * Says how long this instance may admit work. Stateless.
 *
 * <p>It may while, within the freshness time, it confirmed the end of the log itself or heard from
 * a majority of the members and has folded up to the highest offset that they report. Time counts
 * from when the question was sent, never from when its answer came.
 */
public final class Freshness {

  private static final long NEVER = Long.MIN_VALUE;

  private Freshness() {}

  /**
   * Returns the last moment at which work may be admitted without further contact.
   *
   * @param state the state
   * @param now the time
   * @return the moment, the lowest number if work may not be admitted at all
   */
  public static long freshUntil(State state, long now) {
    if (!state.isMember() || state.log().isStalled()) {
      return NEVER;
    }
    long basis = Math.max(byLog(state), Math.min(now, state.peers().majorityContactAt()));
    return basis == NEVER ? NEVER : basis + state.localMember().timing().freshness();
  }

  /**
   * Tells whether work may be admitted.
   *
   * @param state the state
   * @param now the time
   * @return true if so
   */
  public static boolean isFresh(State state, long now) {
    return freshUntil(state, now) > now;
  }

  /**
   * Tells whether the log itself was confirmed within the freshness time.
   *
   * @param state the state
   * @param now the time
   * @return true if so
   */
  public static boolean isLogConfirmed(State state, long now) {
    return state.log().everConfirmed()
        && !state.log().isStalled()
        && now - state.log().confirmedAt() < state.localMember().timing().freshness();
  }

  /**
   * Tells whether a peer is a settled member and its view is of its current start.
   *
   * @param state the state
   * @param peer the peer
   * @return true if so
   */
  public static boolean isCurrent(State state, MemberId peer) {
    Member member = state.appliedState().membership().active().get(peer);
    PeerView view = state.peers().get(peer);
    return member != null && view != null && view.incarnation() == member.incarnation();
  }

  private static long byLog(State state) {
    return state.log().everConfirmed() ? state.log().confirmedAt() : NEVER;
  }

  /**
   * Works out anew up to when a majority is known to have been heard; needed after every heartbeat
   * and every folded record, so that requests need not look at all peers.
   */
  static State refreshMajority(State state) {
    long basis = Long.MAX_VALUE;
    for (Set<MemberId> group : state.appliedState().membership().quorumGroups()) {
      basis = Math.min(basis, majorityBasis(state, group));
    }
    return state.withPeers(state.peers().withMajorityContactAt(basis));
  }

  private static long majorityBasis(State state, Set<MemberId> group) {
    int needed = group.size() / 2 + 1 - (group.contains(state.localId()) ? 1 : 0);
    if (needed <= 0) {
      return Long.MAX_VALUE;
    }
    long[] echoes = new long[group.size()];
    int count = 0;
    for (MemberId peer : group) {
      PeerView view = state.peers().get(peer);
      if (view != null && view.foldedOffset() > state.appliedState().offset()) {
        return NEVER;
      }
      if (view != null && view.everEchoed() && isCurrent(state, peer)) {
        echoes[count] = view.echoedAt();
        count++;
      }
    }
    Arrays.sort(echoes, 0, count);
    return count < needed ? NEVER : echoes[count - needed];
  }
}
