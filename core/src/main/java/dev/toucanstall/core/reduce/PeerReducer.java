package dev.toucanstall.core.reduce;

import dev.toucanstall.core.effect.Effect;
import dev.toucanstall.core.event.Event;
import dev.toucanstall.core.fold.FleetInstance;
import dev.toucanstall.core.fold.InstancePhase;
import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.peer.PeerMessage;
import dev.toucanstall.core.record.LogEntry;
import dev.toucanstall.core.record.Member;
import dev.toucanstall.core.state.PeerView;
import dev.toucanstall.core.state.State;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import org.pcollections.PVector;

/** Reducer of the links to peers and of their messages. Pure. */
final class PeerReducer {

  private PeerReducer() {}

  static Transition reduce(State state, Event.OfPeer event) {
    return switch (event) {
      case Event.LinkChanged changed -> handleLinkChange(state, changed);
      case Event.PeerReceived received -> handleMessage(state, received);
    };
  }

  /** Records that a link went up or down, and sends a heartbeat over a new link at once. */
  private static Transition handleLinkChange(State state, Event.LinkChanged changed) {
    PeerView view = state.peers().get(changed.peer());
    if (view == null) {
      return Transition.of(state);
    }
    State next =
        state.withPeers(
            state.peers().with(changed.peer(), view.withConnected(changed.connected())));
    return changed.connected()
        ? Transition.of(next, heartbeatEffect(next, changed.peer(), changed.occurredAt()))
        : Transition.of(next);
  }

  /**
   * Handles a message of a peer. Messages of unknown members and of earlier incarnations are
   * ignored.
   */
  private static Transition handleMessage(State state, Event.PeerReceived received) {
    Member member = state.appliedState().membership().allMembers().get(received.peer());
    if (member == null || received.incarnation() < member.incarnation()) {
      return Transition.of(state);
    }
    MemberId peer = received.peer();
    long now = received.occurredAt();
    return switch (received.message()) {
      case PeerMessage.Heartbeat heartbeat -> handleHeartbeat(state, received, heartbeat);
      case PeerMessage.LoanAsked request ->
          LoanReducer.handleRequest(state, peer, received.incarnation(), request, now);
      case PeerMessage.LoanAnswered answer -> LoanReducer.handleAnswer(state, peer, answer, now);
      case PeerMessage.LoanReturned loanReturn ->
          LoanReducer.handleReturn(state, peer, loanReturn, now);
      case PeerMessage.ClaimAsked request ->
          ClaimReducer.handleRequest(state, peer, received.incarnation(), request, now);
      case PeerMessage.ClaimAnswered answer -> ClaimReducer.handleAnswer(state, peer, answer, now);
      case PeerMessage.ClaimReleased release ->
          ClaimReducer.handleRelease(state, peer, received.incarnation(), release);
      case PeerMessage.RecordsAsked request -> sendRecords(state, peer, request);
      case PeerMessage.RecordsGiven records -> LogReducer.fold(state, records.entries(), now);
      case PeerMessage.CancelPassed cancellation ->
          RequestReducer.cancel(state, cancellation.key(), false, now);
      case PeerMessage.LoadsReported report ->
          Transition.of(
              state.withPeers(
                  state
                      .peers()
                      .with(
                          peer, state.peers().getOrInitial(peer, now).withLoads(report.loads()))));
    };
  }

  /**
   * Records a heartbeat and requests the records that the peer has applied and this entry instance
   * has not.
   *
   * <p>The echoed send time belongs to a heartbeat of this entry instance. It never goes back while
   * the peer's incarnation is the same, since heartbeats may arrive out of order.
   */
  private static Transition handleHeartbeat(
      State state, Event.PeerReceived received, PeerMessage.Heartbeat heartbeat) {
    long now = received.occurredAt();
    PeerView previous = state.peers().getOrInitial(received.peer(), now);
    boolean sameIncarnation = previous.incarnation() == received.incarnation();
    long echoedAt =
        sameIncarnation && previous.everEchoed()
            ? Math.max(previous.echoedAt(), heartbeat.echo())
            : heartbeat.echo();
    PeerView view =
        new PeerView(
            received.incarnation(),
            true,
            heartbeat.sentAt(),
            echoedAt,
            heartbeat.echo() != 0 || (sameIncarnation && previous.everEchoed()),
            now,
            heartbeat.folded(),
            heartbeat.shrunkTo(),
            heartbeat.busy(),
            previous.loads());
    State next = state.withPeers(state.peers().with(received.peer(), view));
    return Transition.of(adoptEpochs(next, received.peer(), heartbeat))
        .mapState(s -> Freshness.refreshMajorityContact(recordMajorityOffset(s, now)))
        .then(s -> checkDigest(s, received.peer(), heartbeat))
        .then(s -> requestRecords(s, received.peer(), heartbeat));
  }

  /**
   * Takes over the cleared epoch and the oldest epoch with relevant claims from an active member.
   *
   * <p>Both are facts about the whole membership, so one member's finding is valid for all. A
   * cleared epoch is taken over only if it is still retained here.
   */
  private static State adoptEpochs(State state, MemberId peer, PeerMessage.Heartbeat heartbeat) {
    if (!Freshness.isCurrent(state, peer)) {
      return state;
    }
    State next = state.withClaims(state.claims().withOldestRelevantEpoch(heartbeat.claimsFrom()));
    long cleared = heartbeat.cleared();
    boolean retained =
        state.appliedState().membership().epochs().stream()
            .anyMatch(epoch -> epoch.number() == cleared);
    return retained && cleared > state.slots().clearedEpoch()
        ? next.withSlots(next.slots().withClearedEpoch(cleared))
        : next;
  }

  /**
   * Records the time at which a majority of each quorum group was first known to have applied a
   * newer offset.
   */
  private static State recordMajorityOffset(State state, long now) {
    long offset = Long.MAX_VALUE;
    for (Set<MemberId> group : state.appliedState().membership().quorumGroups()) {
      offset = Math.min(offset, majorityOffset(state, group));
    }
    var foldTimes = state.peers().foldTimeByMajorityOffset();
    boolean newer = foldTimes.isEmpty() || foldTimes.lastKey() < offset;
    return newer && offset != Long.MAX_VALUE
        ? state.withPeers(state.peers().withMajorityFoldTime(offset, now))
        : state;
  }

  /**
   * Returns the highest offset that a majority of a group has applied.
   *
   * @return the offset, -1 if no majority is known to have applied a record; {@code Long.MAX_VALUE}
   *     if the group is empty
   */
  private static long majorityOffset(State state, Set<MemberId> group) {
    if (group.isEmpty()) {
      return Long.MAX_VALUE;
    }
    List<Long> offsets = new ArrayList<>();
    for (MemberId member : group) {
      boolean local = member.equals(state.localId());
      PeerView view = state.peers().get(member);
      boolean current = view != null && Freshness.isCurrent(state, member);
      offsets.add(
          local
              ? state.appliedState().offset()
              : current && view != null ? view.foldedOffset() : -1);
    }
    Collections.sort(offsets);
    return offsets.get((offsets.size() - 1) / 2);
  }

  private static Transition checkDigest(
      State state, MemberId peer, PeerMessage.Heartbeat heartbeat) {
    boolean sameOffset = heartbeat.digestAt() == state.appliedState().offset();
    return sameOffset && heartbeat.digest() != state.appliedState().digest()
        ? Transition.of(
            state,
            new Effect.Alarm(
                "state-diverged",
                "state at offset %d differs from that of \"%s\""
                    .formatted(heartbeat.digestAt(), peer)))
        : Transition.of(state);
  }

  private static Transition requestRecords(
      State state, MemberId peer, PeerMessage.Heartbeat heartbeat) {
    return heartbeat.folded() > state.appliedState().offset() && state.appliedState().offset() >= 0
        ? Transition.of(
            state,
            new Effect.Send(peer, new PeerMessage.RecordsAsked(state.appliedState().offset() + 1)))
        : Transition.of(state);
  }

  /** Sends the requested records if all of them are still in the retained tail of the log. */
  private static Transition sendRecords(
      State state, MemberId peer, PeerMessage.RecordsAsked request) {
    PVector<LogEntry> tail = state.log().tail();
    List<LogEntry> requested =
        tail.stream().filter(entry -> entry.offset() >= request.from()).toList();
    boolean complete = !requested.isEmpty() && requested.get(0).offset() == request.from();
    return complete
        ? Transition.of(state, new Effect.Send(peer, new PeerMessage.RecordsGiven(requested)))
        : Transition.of(state);
  }

  static Transition sendHeartbeats(State state, long now) {
    if (now < state.peers().heartbeatDueAt()) {
      return Transition.of(state);
    }
    Transition transition =
        Transition.of(
            state.withPeers(
                state
                    .peers()
                    .withHeartbeatDueAt(now + state.localMember().timing().heartbeatInterval())));
    for (var entry : state.peers().views().entrySet()) {
      if (entry.getValue().connected()) {
        transition =
            transition.then(s -> Transition.of(s, heartbeatEffect(s, entry.getKey(), now)));
      }
    }
    return transition;
  }

  private static Effect heartbeatEffect(State state, MemberId peer, long now) {
    PeerView view = state.peers().getOrInitial(peer, now);
    return new Effect.Send(
        peer,
        new PeerMessage.Heartbeat(
            now,
            view.peerSentAt(),
            state.appliedState().offset(),
            AllocationRules.shrunkToEpoch(state, now),
            state.slots().clearedEpoch(),
            state.claims().oldestRelevantEpoch(),
            busyDrainingInstances(state),
            state.appliedState().digest(),
            state.appliedState().offset()));
  }

  /** Returns the draining instances on which requests of this entry instance still run. */
  static List<InstanceId> busyDrainingInstances(State state) {
    return state.appliedState().fleet().instances().values().stream()
        .filter(instance -> instance.phase() instanceof InstancePhase.Draining)
        .map(FleetInstance::id)
        .filter(id -> RequestRules.runningOn(state, id) > 0)
        .toList();
  }
}
