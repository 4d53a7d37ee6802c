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

/** Decides on events of the links to peers. Pure. */
final class PeerReducer {

  private PeerReducer() {}

  static Transition reduce(State state, Event.OfPeer event) {
    return switch (event) {
      case Event.LinkChanged changed -> linkChanged(state, changed);
      case Event.PeerReceived received -> received(state, received);
    };
  }

  private static Transition linkChanged(State state, Event.LinkChanged changed) {
    PeerView view = state.peers().get(changed.peer());
    if (view == null) {
      return Transition.of(state);
    }
    State next =
        state.withPeers(
            state.peers().with(changed.peer(), view.withConnected(changed.connected())));
    return changed.connected()
        ? Transition.of(next, heartbeatTo(next, changed.peer(), changed.occurredAt()))
        : Transition.of(next);
  }

  private static Transition received(State state, Event.PeerReceived received) {
    Member member = state.appliedState().membership().allMembers().get(received.peer());
    if (member == null || received.incarnation() < member.incarnation()) {
      return Transition.of(state);
    }
    MemberId peer = received.peer();
    long now = received.occurredAt();
    return switch (received.message()) {
      case PeerMessage.Heartbeat heartbeat -> heartbeat(state, received, heartbeat);
      case PeerMessage.LoanAsked asked ->
          LoanReducer.asked(state, peer, received.incarnation(), asked, now);
      case PeerMessage.LoanAnswered answered -> LoanReducer.answered(state, peer, answered, now);
      case PeerMessage.LoanReturned returned -> LoanReducer.takeBack(state, peer, returned, now);
      case PeerMessage.ClaimAsked asked ->
          ClaimReducer.asked(state, peer, received.incarnation(), asked, now);
      case PeerMessage.ClaimAnswered answered -> ClaimReducer.answered(state, peer, answered, now);
      case PeerMessage.ClaimReleased released ->
          ClaimReducer.released(state, peer, received.incarnation(), released);
      case PeerMessage.RecordsAsked asked -> passRecords(state, peer, asked);
      case PeerMessage.RecordsGiven given -> LogReducer.fold(state, given.entries(), now);
      case PeerMessage.CancelPassed passed ->
          RequestReducer.cancel(state, passed.key(), false, now);
      case PeerMessage.LoadsReported reported ->
          Transition.of(
              state.withPeers(
                  state
                      .peers()
                      .with(
                          peer,
                          state.peers().getOrInitial(peer, now).withLoads(reported.loads()))));
    };
  }

  private static Transition heartbeat(
      State state, Event.PeerReceived received, PeerMessage.Heartbeat heartbeat) {
    long now = received.occurredAt();
    PeerView known = state.peers().getOrInitial(received.peer(), now);
    boolean sameStart = known.incarnation() == received.incarnation();
    long echoed =
        sameStart && known.everEchoed()
            ? Math.max(known.echoedAt(), heartbeat.echo())
            : heartbeat.echo();
    PeerView view =
        new PeerView(
            received.incarnation(),
            true,
            heartbeat.sentAt(),
            echoed,
            heartbeat.echo() != 0 || (sameStart && known.everEchoed()),
            now,
            heartbeat.folded(),
            heartbeat.shrunkTo(),
            heartbeat.busy(),
            known.loads());
    State next = state.withPeers(state.peers().with(received.peer(), view));
    return Transition.of(adoptEpochs(next, received.peer(), heartbeat))
        .map(s -> Freshness.refreshMajority(markMajority(s, now)))
        .then(s -> compareDigest(s, received.peer(), heartbeat))
        .then(s -> askForRecords(s, received.peer(), heartbeat));
  }

  /** A settled member's word on what earlier epochs left behind holds for everyone. */
  private static State adoptEpochs(State state, MemberId peer, PeerMessage.Heartbeat heartbeat) {
    if (!Freshness.isCurrent(state, peer)) {
      return state;
    }
    State next = state.withClaims(state.claims().withOldestRelevantEpoch(heartbeat.claimsFrom()));
    long cleared = heartbeat.cleared();
    boolean known =
        state.appliedState().membership().epochs().stream()
            .anyMatch(epoch -> epoch.number() == cleared);
    return known && cleared > state.slots().clearedEpoch()
        ? next.withSlots(next.slots().withClearedEpoch(cleared))
        : next;
  }

  private static State markMajority(State state, long now) {
    long offset = Long.MAX_VALUE;
    for (Set<MemberId> group : state.appliedState().membership().quorumGroups()) {
      offset = Math.min(offset, majorityOffset(state, group));
    }
    var marks = state.peers().majorityFoldedAt();
    boolean newer = marks.isEmpty() || marks.lastKey() < offset;
    return newer && offset != Long.MAX_VALUE
        ? state.withPeers(state.peers().withMajorityFoldedAt(offset, now))
        : state;
  }

  private static long majorityOffset(State state, Set<MemberId> group) {
    if (group.isEmpty()) {
      return Long.MAX_VALUE;
    }
    List<Long> offsets = new ArrayList<>();
    for (MemberId member : group) {
      boolean mine = member.equals(state.localId());
      PeerView view = state.peers().get(member);
      boolean counted = view != null && Freshness.isCurrent(state, member);
      offsets.add(
          mine
              ? state.appliedState().offset()
              : counted && view != null ? view.foldedOffset() : -1);
    }
    Collections.sort(offsets);
    return offsets.get((offsets.size() - 1) / 2);
  }

  private static Transition compareDigest(
      State state, MemberId peer, PeerMessage.Heartbeat heartbeat) {
    boolean comparable = heartbeat.digestAt() == state.appliedState().offset();
    return comparable && heartbeat.digest() != state.appliedState().digest()
        ? Transition.of(
            state,
            new Effect.Alarm(
                "state-diverged",
                "state at offset %d differs from that of \"%s\""
                    .formatted(heartbeat.digestAt(), peer)))
        : Transition.of(state);
  }

  private static Transition askForRecords(
      State state, MemberId peer, PeerMessage.Heartbeat heartbeat) {
    return heartbeat.folded() > state.appliedState().offset() && state.appliedState().offset() >= 0
        ? Transition.of(
            state,
            new Effect.Send(peer, new PeerMessage.RecordsAsked(state.appliedState().offset() + 1)))
        : Transition.of(state);
  }

  private static Transition passRecords(
      State state, MemberId peer, PeerMessage.RecordsAsked asked) {
    PVector<LogEntry> tail = state.log().tail();
    List<LogEntry> wanted = tail.stream().filter(entry -> entry.offset() >= asked.from()).toList();
    boolean complete = !wanted.isEmpty() && wanted.get(0).offset() == asked.from();
    return complete
        ? Transition.of(state, new Effect.Send(peer, new PeerMessage.RecordsGiven(wanted)))
        : Transition.of(state);
  }

  /** Sends heartbeats to all peers if they are due. */
  static Transition sendHeartbeats(State state, long now) {
    if (now < state.peers().heartbeatDueAt()) {
      return Transition.of(state);
    }
    Transition step =
        Transition.of(
            state.withPeers(
                state
                    .peers()
                    .withHeartbeatDueAt(now + state.localMember().timing().heartbeatInterval())));
    for (var entry : state.peers().views().entrySet()) {
      if (entry.getValue().connected()) {
        step = step.then(s -> Transition.of(s, heartbeatTo(s, entry.getKey(), now)));
      }
    }
    return step;
  }

  private static Effect heartbeatTo(State state, MemberId peer, long now) {
    PeerView view = state.peers().getOrInitial(peer, now);
    return new Effect.Send(
        peer,
        new PeerMessage.Heartbeat(
            now,
            view.peerSentAt(),
            state.appliedState().offset(),
            SplitRules.shrunkTo(state, now),
            state.slots().clearedEpoch(),
            state.claims().oldestRelevantEpoch(),
            busyDraining(state),
            state.appliedState().digest(),
            state.appliedState().offset()));
  }

  /** Returns the draining instances at which this one has work in flight. */
  static List<InstanceId> busyDraining(State state) {
    return state.appliedState().fleet().instances().values().stream()
        .filter(instance -> instance.phase() instanceof InstancePhase.Draining)
        .map(FleetInstance::id)
        .filter(id -> RequestRules.runningOn(state, id) > 0)
        .toList();
  }
}
