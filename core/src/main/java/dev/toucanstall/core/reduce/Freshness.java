package dev.toucanstall.core.reduce;

import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.record.Member;
import dev.toucanstall.core.state.PeerView;
import dev.toucanstall.core.state.State;
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
    long basis = Math.max(byLog(state), byMajority(state, now));
    return basis == NEVER ? NEVER : basis + state.self().timing().freshness();
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
        && now - state.log().confirmedAt() < state.self().timing().freshness();
  }

  /**
   * Tells whether a peer is a settled member and its view is of its current start.
   *
   * @param state the state
   * @param peer the peer
   * @return true if so
   */
  public static boolean isCurrent(State state, MemberId peer) {
    Member member = state.folded().membership().active().get(peer);
    PeerView view = state.peers().get(peer);
    return member != null && view != null && view.incarnation() == member.incarnation();
  }

  private static long byLog(State state) {
    return state.log().everConfirmed() ? state.log().confirmedAt() : NEVER;
  }

  private static long byMajority(State state, long now) {
    long basis = now;
    for (Set<MemberId> group : state.folded().membership().groups()) {
      basis = Math.min(basis, byMajorityOf(state, group, now));
    }
    return basis;
  }

  private static long byMajorityOf(State state, Set<MemberId> group, long now) {
    int needed = group.size() / 2 + 1 - (group.contains(state.me()) ? 1 : 0);
    if (needed <= 0) {
      return now;
    }
    long[] echoes =
        group.stream()
            .filter(peer -> !peer.equals(state.me()) && isCurrent(state, peer))
            .map(peer -> state.peers().getOrUnheard(peer, now))
            .filter(view -> view.everEchoed() && view.folded() <= state.folded().offset())
            .mapToLong(PeerView::echoedAt)
            .sorted()
            .toArray();
    boolean behind =
        group.stream()
            .map(peer -> state.peers().getOrUnheard(peer, now))
            .anyMatch(view -> view.folded() > state.folded().offset());
    return behind || echoes.length < needed ? NEVER : echoes[echoes.length - needed];
  }
}
