package dev.toucanstall.core.state;

import dev.toucanstall.core.model.MemberId;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.pcollections.TreePMap;

/**
 * State of all peers. Immutable. Times are in nanoseconds of the local monotonic clock.
 *
 * @param views views of the peers by name
 * @param heartbeatDueAt time at which the next heartbeats are due
 * @param proposalDueAt time at which changes of the membership are proposed next
 * @param foldTimeByMajorityOffset time at which a majority of the members was first known to have
 *     folded an offset, by that offset
 * @param majorityContactAt latest send time of a heartbeat that a majority has echoed; {@code
 *     Long.MIN_VALUE} if there is none, {@code Long.MAX_VALUE} if this entry instance alone is a
 *     majority
 */
public record Peers(
    TreePMap<MemberId, PeerView> views,
    long heartbeatDueAt,
    long proposalDueAt,
    TreePMap<Long, Long> foldTimeByMajorityOffset,
    long majorityContactAt) {

  /**
   * Maximum number of offsets in {@link #foldTimeByMajorityOffset}; beyond it the lowest is
   * dropped.
   */
  public static final int MAX_MAJORITY_OFFSETS = 64;

  /** Peers of an entry instance that knows none. */
  public static final Peers EMPTY =
      new Peers(TreePMap.empty(), 0, 0, TreePMap.empty(), Long.MIN_VALUE);

  /**
   * Returns the view of a peer.
   *
   * @param peer the peer
   * @return the view, null if the peer is unknown
   */
  public @Nullable PeerView get(MemberId peer) {
    return views.get(peer);
  }

  /**
   * Returns the view of a peer, or the initial view if the peer is unknown.
   *
   * @param peer the peer
   * @param now the time
   * @return the view
   */
  public PeerView getOrInitial(MemberId peer, long now) {
    return Objects.requireNonNullElseGet(views.get(peer), () -> PeerView.initial(now));
  }

  /**
   * Returns a copy with the view of one peer added or replaced.
   *
   * @param peer the peer
   * @param view the new view of the peer
   * @return the new peers
   */
  public Peers with(MemberId peer, PeerView view) {
    return new Peers(
        views.plus(peer, view),
        heartbeatDueAt,
        proposalDueAt,
        foldTimeByMajorityOffset,
        majorityContactAt);
  }

  /**
   * Returns a copy with other views.
   *
   * @param next the views by name
   * @return the new peers
   */
  public Peers withViews(TreePMap<MemberId, PeerView> next) {
    return new Peers(
        next, heartbeatDueAt, proposalDueAt, foldTimeByMajorityOffset, majorityContactAt);
  }

  /**
   * Returns a copy with the time of the next heartbeats.
   *
   * @param dueAt the time
   * @return the new peers
   */
  public Peers withHeartbeatDueAt(long dueAt) {
    return new Peers(views, dueAt, proposalDueAt, foldTimeByMajorityOffset, majorityContactAt);
  }

  /**
   * Returns a copy with the time of the next proposals.
   *
   * @param dueAt the time
   * @return the new peers
   */
  public Peers withProposalDueAt(long dueAt) {
    return new Peers(views, heartbeatDueAt, dueAt, foldTimeByMajorityOffset, majorityContactAt);
  }

  /**
   * Returns a copy with the time at which a majority was first known to have folded an offset.
   *
   * @param offset offset in the log that a majority has folded
   * @param foldedAt time at which that was first known
   * @return the new peers
   */
  public Peers withMajorityFoldTime(long offset, long foldedAt) {
    TreePMap<Long, Long> next = foldTimeByMajorityOffset.plus(offset, foldedAt);
    return new Peers(
        views,
        heartbeatDueAt,
        proposalDueAt,
        next.size() > MAX_MAJORITY_OFFSETS ? next.minus(next.firstKey()) : next,
        majorityContactAt);
  }

  /**
   * Returns a copy with the time of the last contact with a majority.
   *
   * @param contactAt the time, as described for {@link #majorityContactAt}
   * @return the new peers
   */
  public Peers withMajorityContactAt(long contactAt) {
    return contactAt == majorityContactAt
        ? this
        : new Peers(views, heartbeatDueAt, proposalDueAt, foldTimeByMajorityOffset, contactAt);
  }
}
