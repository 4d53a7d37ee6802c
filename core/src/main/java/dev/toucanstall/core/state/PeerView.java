package dev.toucanstall.core.state;

import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.peer.PoolLoad;
import java.util.List;

/**
 * What an entry instance knows of a peer.
 *
 * @param incarnation the peer's last known start
 * @param connected whether the link is up
 * @param peerSentAt the peer's clock in its last heartbeat, to be echoed
 * @param echoedAt when the newest own heartbeat was sent that the peer has echoed
 * @param everEchoed whether the peer has echoed any
 * @param lastReceivedAt when anything last came from it
 * @param foldedOffset the offset in its last heartbeat
 * @param shrunkToEpoch the epoch in its last heartbeat
 * @param busyInstances draining instances at which it has work in flight
 * @param loads its load by pool, if this instance plans the moves of those pools
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
   * Makes the view of a peer that was not heard from yet.
   *
   * @param at now
   * @return the view
   */
  public static PeerView initial(long at) {
    return new PeerView(-1, false, 0, 0, false, at, -1, Long.MIN_VALUE, List.of(), List.of());
  }

  /**
   * Returns the view with the link up or down.
   *
   * @param up whether it is up
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
   * Returns the view with the peer's loads.
   *
   * @param next the loads
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
