package dev.toucanstall.core.state;

import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.peer.PoolLoad;
import java.util.List;

/**
 * State of a peer as known from its messages. Immutable. Times are in nanoseconds of the local
 * monotonic clock unless stated otherwise.
 *
 * @param incarnation last known incarnation of the peer, -1 if unknown
 * @param connected whether the link to the peer is up
 * @param peerSentAt send time of the peer's last heartbeat by the peer's clock, to be echoed
 * @param echoedAt send time of the newest own heartbeat that the peer has echoed
 * @param everEchoed whether the peer has echoed any heartbeat
 * @param lastReceivedAt time at which the last message of the peer arrived; before the first one,
 *     time at which the peer became known
 * @param foldedOffset last folded offset by the peer's last heartbeat, -1 if there was none
 * @param shrunkToEpoch newest epoch to whose allocation the peer's use of slots has shrunk by its
 *     last heartbeat, {@code Long.MIN_VALUE} if unknown
 * @param busyInstances draining instances on which the peer has requests in flight
 * @param loads the peer's load by pool, if this entry instance plans the moves of those pools
 */
public record PeerView(
    long incarnation,
    boolean connected,
    long peerSentAt,
    long echoedAt,
    boolean everEchoed,
    long lastReceivedAt,
    long foldedOffset,
    long shrunkToEpoch,
    List<InstanceId> busyInstances,
    List<PoolLoad> loads) {

  /**
   * Returns the view of a peer that has not sent a message yet.
   *
   * @param now time at which the peer becomes known
   * @return the view
   */
  public static PeerView initial(long now) {
    return new PeerView(-1, false, 0, 0, false, now, -1, Long.MIN_VALUE, List.of(), List.of());
  }

  /**
   * Returns a copy with the state of the link.
   *
   * @param up whether the link is up
   * @return the new view
   */
  public PeerView withConnected(boolean up) {
    return new PeerView(
        incarnation,
        up,
        peerSentAt,
        echoedAt,
        everEchoed,
        lastReceivedAt,
        foldedOffset,
        shrunkToEpoch,
        busyInstances,
        loads);
  }

  /**
   * Returns a copy with other loads.
   *
   * @param next the peer's load by pool
   * @return the new view
   */
  public PeerView withLoads(List<PoolLoad> next) {
    return new PeerView(
        incarnation,
        connected,
        peerSentAt,
        echoedAt,
        everEchoed,
        lastReceivedAt,
        foldedOffset,
        shrunkToEpoch,
        busyInstances,
        next);
  }
}
