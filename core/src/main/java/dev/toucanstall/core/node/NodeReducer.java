package dev.toucanstall.core.node;

import dev.toucanstall.core.plan.Now;
import dev.toucanstall.core.plan.PlanEvent;
import java.util.List;

/**
 * The reducer of an entry instance: applies each event to the control state and returns effects as
 * data. Does no I/O and reads no clock. The state is owned by the calling thread.
 */
public final class NodeReducer {

  private NodeReducer() {}

  /**
   * Applies an event to the state.
   *
   * @param node the state, changed in place
   * @param event the event
   * @param now time of the event
   * @return the effects to carry out, in order
   */
  public static List<NodeEffect> reduce(Node node, NodeEvent event, Now now) {
    FreshnessRules.detectSuspension(node, now);
    switch (event) {
      case NodeEvent.Tick tick -> tick(node, now);
      case NodeEvent.Called called -> Admission.decide(node, called, now);
      case NodeEvent.PeerAsked asked -> Delivery.peerAsked(node, asked, now);
      case NodeEvent.PeerPinged pinged -> peerPinged(node, pinged, now);
      case NodeEvent.PeerPonged ponged -> Terms.peerPonged(node, ponged, now);
      case NodeEvent.PeerAnswered answered -> Delivery.peerAnswered(node, answered);
      case NodeEvent.PeerDeclined declined -> Delivery.peerDeclined(node, declined, now);
      case NodeEvent.AskUnsent unsent -> Delivery.askUnsent(node, unsent);
      case NodeEvent.ReplyUnsent unsent -> node.unsentReplies.add(unsent.reply(), now.steadyMs());
      case NodeEvent.LinkUp up -> Delivery.linkUp(node, up.address(), now);
      case NodeEvent.LinkDown down -> Delivery.linkDown(node, down, now);
      case NodeEvent.CatalogRead read -> FreshnessRules.catalogRead(node, read, now);
      case NodeEvent.WaveRead read -> Terms.waveRead(node, read.order(), now);
      case NodeEvent.LeaderRead read -> Terms.leaderRead(node, read.leader(), now);
      case NodeEvent.LeaderSizeRead read -> node.candidacy.leaderSizeRead(read.size());
      case NodeEvent.Joined joined -> Terms.joined(node, joined.candidate(), now);
      case NodeEvent.Elected elected -> Terms.elected(node, elected, now);
      case NodeEvent.NotElected failed -> Terms.notElected(node, failed, now);
      case NodeEvent.RecordsUnreadable unreadable ->
          Terms.recordsUnreadable(node, unreadable.reason(), now);
      case NodeEvent.ForPlan forPlan ->
          Terms.applyToPlan(node, forPlan.epoch(), forPlan.event(), now);
      case NodeEvent.StopAsked stop -> Stopping.begin(node, stop.graceMs(), now);
    }
    Terms.updateGroupPolling(node, now);
    FreshnessRules.updateReadiness(node, now);
    node.candidacy.update(node, now);
    return node.takeEffects();
  }

  private static void peerPinged(Node node, NodeEvent.PeerPinged pinged, Now now) {
    node.unsentReplies.removeAll(pinged.link()).forEach(node::emit);
    Terms.peerPinged(node, pinged, now);
  }

  private static void tick(Node node, Now now) {
    Terms.updateStoreOutage(node, now);
    Terms.applyToPlan(node, new PlanEvent.Tick(), now);
    Delivery.expire(node, now);
    Delivery.sendWaiting(node, now);
    node.unsentReplies.removeExpired(now.steadyMs());
    Stopping.exitIfDone(node, now);
  }
}
