package dev.toucanstall.core.reduce;

import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.record.Member;
import dev.toucanstall.core.state.PeerView;
import dev.toucanstall.core.state.State;
import java.util.Arrays;
import java.util.Set;

/**
 * Determines how long this entry instance may admit work. Stateless.
 *
 * <p>Work may be admitted for the freshness time after the last confirmed contact. A contact is
 * either a read of the log that reached its end, or heartbeats echoed by a majority of the members,
 * provided that all records up to the highest offset reported by them are applied. The time counts
 * from the sending of the read or heartbeat, never from the arrival of the reply: the reply may
 * have been delayed and say nothing about the present.
 */
public final class Freshness {

  /** Time that stands for no contact at all. */
  private static final long NEVER = Long.MIN_VALUE;

  private Freshness() {}

  /**
   * Returns the time up to which work may be admitted without further contact.
   *
   * @param state the state
   * @param now current time, in nanoseconds of the monotonic clock
   * @return the time in nanoseconds of the monotonic clock, {@code Long.MIN_VALUE} if this entry
   *     instance is not an active member, cannot apply a record of the log or never had contact
   */
  public static long freshUntil(State state, long now) {
    if (!state.isMember() || state.log().isStalled()) {
      return NEVER;
    }
    long contactAt =
        Math.max(logContactAt(state), Math.min(now, state.peers().majorityContactAt()));
    return contactAt == NEVER ? NEVER : contactAt + state.localMember().timing().freshness();
  }

  /**
   * Tells whether work may be admitted.
   *
   * @param state the state
   * @param now current time, in nanoseconds of the monotonic clock
   * @return true until the time of {@link #freshUntil}
   */
  public static boolean isFresh(State state, long now) {
    return freshUntil(state, now) > now;
  }

  /**
   * Tells whether a read has reached the end of the log within the freshness time.
   *
   * @param state the state
   * @param now current time, in nanoseconds of the monotonic clock
   * @return false also if a record of the log cannot be applied
   */
  public static boolean isLogConfirmed(State state, long now) {
    return state.log().everConfirmed()
        && !state.log().isStalled()
        && now - state.log().confirmedAt() < state.localMember().timing().freshness();
  }

  /**
   * Tells whether a peer is an active member and the last heartbeat came from its current
   * incarnation.
   *
   * @param state the state
   * @param peer the peer
   * @return false also if nothing is known of the peer
   */
  public static boolean isCurrent(State state, MemberId peer) {
    Member member = state.appliedState().membership().active().get(peer);
    PeerView view = state.peers().get(peer);
    return member != null && view != null && view.incarnation() == member.incarnation();
  }

  /** Returns the send time of the last read that reached the end of the log. */
  private static long logContactAt(State state) {
    return state.log().everConfirmed() ? state.log().confirmedAt() : NEVER;
  }

  /**
   * Recomputes the send time of the newest heartbeat that a majority of each group has echoed.
   *
   * <p>The result is cached in the state after every heartbeat and every applied record, so that
   * requests need not iterate over all peers.
   */
  static State refreshMajorityContact(State state) {
    long contactAt = Long.MAX_VALUE;
    for (Set<MemberId> group : state.appliedState().membership().quorumGroups()) {
      contactAt = Math.min(contactAt, majorityContactAt(state, group));
    }
    return state.withPeers(state.peers().withMajorityContactAt(contactAt));
  }

  /**
   * Returns the send time of the newest heartbeat that a majority of a group has echoed.
   *
   * @return the time in nanoseconds of the monotonic clock; {@code Long.MAX_VALUE} if this entry
   *     instance alone is a majority; {@code Long.MIN_VALUE} if no majority has echoed a heartbeat
   *     or a peer has applied records that are missing here
   */
  private static long majorityContactAt(State state, Set<MemberId> group) {
    int required = group.size() / 2 + 1 - (group.contains(state.localId()) ? 1 : 0);
    if (required <= 0) {
      return Long.MAX_VALUE;
    }
    long[] echoTimes = new long[group.size()];
    int count = 0;
    for (MemberId peer : group) {
      PeerView view = state.peers().get(peer);
      if (view != null && view.foldedOffset() > state.appliedState().offset()) {
        return NEVER;
      }
      if (view != null && view.everEchoed() && isCurrent(state, peer)) {
        echoTimes[count] = view.echoedAt();
        count++;
      }
    }
    Arrays.sort(echoTimes, 0, count);
    return count < required ? NEVER : echoTimes[count - required];
  }
}
