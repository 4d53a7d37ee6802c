package dev.toucanstall.core.state;

import dev.toucanstall.core.model.MemberId;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.pcollections.TreePMap;

/**
 * What an entry instance knows of its peers.
 *
 * @param views the peers by name
 * @param heartbeatDueAt when the next heartbeats are due
 * @param proposalDueAt when the next proposals for members are due
 * @param majorityFoldedAt when a majority of the members was first seen to have folded an offset
 * @param majorityContactAt the moment up to which a majority is known to have been heard; the
 *     lowest number if none was, the highest if this instance alone is a majority
 */
public record Peers(
    TreePMap<MemberId, PeerView> views,
    long heartbeatDueAt,
    long proposalDueAt,
    TreePMap<Long, Long> majorityFoldedAt,
    long majorityContactAt) {

  /** Most offsets of which the time is kept. */
  public static final int MAX_MAJORITY_OFFSETS = 64;

  /** No peers. */
  public static final Peers EMPTY =
      new Peers(TreePMap.empty(), 0, 0, TreePMap.empty(), Long.MIN_VALUE);

  /**
   * Returns the view of a peer.
   *
   * @param peer the peer
   * @return the view, null if there is none
   */
  public @Nullable PeerView get(MemberId peer) {
    return views.get(peer);
  }

  /**
   * Returns the view of a peer, or one that was not heard from yet.
   *
   * @param peer the peer
   * @param at now
   * @return the view
   */
  public PeerView getOrInitial(MemberId peer, long at) {
    return Objects.requireNonNullElseGet(views.get(peer), () -> PeerView.initial(at));
  }

  /**
   * Returns the peers with one view replaced.
   *
   * @param peer the peer
   * @param view its view
   * @return the new peers
   */
  public Peers with(MemberId peer, PeerView view) {
    return new Peers(
        views.plus(peer, view), heartbeatDueAt, proposalDueAt, majorityFoldedAt, majorityContactAt);
  }

  /**
   * Returns the peers with other views.
   *
   * @param next the views
   * @return the new peers
   */
  public Peers withViews(TreePMap<MemberId, PeerView> next) {
    return new Peers(next, heartbeatDueAt, proposalDueAt, majorityFoldedAt, majorityContactAt);
  }

  /**
   * Returns the peers with the time of the next heartbeats.
   *
   * @param at the time
   * @return the new peers
   */
  public Peers withHeartbeatDueAt(long at) {
    return new Peers(views, at, proposalDueAt, majorityFoldedAt, majorityContactAt);
  }

  /**
   * Returns the peers with the time of the next proposals.
   *
   * @param at the time
   * @return the new peers
   */
  public Peers withProposalDueAt(long at) {
    return new Peers(views, heartbeatDueAt, at, majorityFoldedAt, majorityContactAt);
  }

  /**
   * Returns the peers with the time at which a majority had folded an offset.
   *
   * @param offset the offset
   * @param at the time
   * @return the new peers
   */
  public Peers withMajorityFoldedAt(long offset, long at) {
    TreePMap<Long, Long> next = majorityFoldedAt.plus(offset, at);
    return new Peers(
        views,
        heartbeatDueAt,
        proposalDueAt,
        next.size() > MAX_MAJORITY_OFFSETS ? next.minus(next.firstKey()) : next,
        majorityContactAt);
  }

  /**
   * Returns the peers with the moment up to which a majority is known to have been heard.
   *
   * @param basis the moment
   * @return the new peers
   */
  public Peers withMajorityContactAt(long basis) {
    return basis == majorityContactAt
        ? this
        : new Peers(views, heartbeatDueAt, proposalDueAt, majorityFoldedAt, basis);
  }
}
