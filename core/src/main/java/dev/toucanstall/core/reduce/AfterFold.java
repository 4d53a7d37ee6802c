package dev.toucanstall.core.reduce;

import dev.toucanstall.core.effect.Effect;
import dev.toucanstall.core.fold.AppliedState;
import dev.toucanstall.core.fold.Epoch;
import dev.toucanstall.core.fold.FleetInstance;
import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.record.Member;
import dev.toucanstall.core.state.LifecycleState;
import dev.toucanstall.core.state.PeerView;
import dev.toucanstall.core.state.Peers;
import dev.toucanstall.core.state.State;
import java.util.List;
import java.util.Locale;
import org.jspecify.annotations.Nullable;
import org.pcollections.TreePMap;

/** Draws the consequences of newly folded records. Pure. */
final class AfterFold {

  private AfterFold() {}

  static Transition react(State state, AppliedState before, long now) {
    State versioned = state.withSlots(state.slots().withNextAllocationVersion());
    return Transition.of(noteEpochs(versioned, before, now))
        .then(s -> relink(s, before, now))
        .map(Freshness::refreshMajority)
        .then(s -> becomeMember(s, now))
        .then(s -> noteSnapshot(s, before, now))
        .then(s -> explainFleet(s, before, now))
        .then(s -> RequestRules.requeueMoved(s, before))
        .then(s -> MembershipRules.propose(s, now))
        .then(s -> Pump.pumpAll(s, now))
        .then(s -> LifeReducer.updateReady(s, now));
  }

  private static State noteEpochs(State state, AppliedState before, long now) {
    long last = before.membership().epoch().number();
    State next = state;
    for (Epoch epoch : state.appliedState().membership().epochs()) {
      if (epoch.number() > last) {
        next = next.withSlots(next.slots().withEpochFolded(epoch.number(), now));
      }
    }
    return next.withSlots(next.slots().retainEpochs(state.appliedState().membership().epochs()));
  }

  private static Transition relink(State state, AppliedState before, long now) {
    TreePMap<MemberId, Member> wanted =
        state.appliedState().membership().allMembers().minus(state.localId());
    if (wanted.equals(before.membership().allMembers().minus(state.localId()))) {
      return Transition.of(state);
    }
    TreePMap<MemberId, PeerView> views = TreePMap.empty();
    for (MemberId peer : wanted.keySet()) {
      views = views.plus(peer, state.peers().getOrInitial(peer, now));
    }
    Peers peers = state.peers().withViews(views);
    return Transition.of(state.withPeers(peers), new Effect.LinkTo(List.copyOf(wanted.values())));
  }

  private static Transition becomeMember(State state, long now) {
    if (state.localMember().lifecycle() != LifecycleState.JOINING || !state.isMember()) {
      return Transition.of(state);
    }
    return Transition.of(
            state.withLocalMember(state.localMember().withLifecycle(LifecycleState.SERVING, now)))
        .then(
            s ->
                Journaling.decide(
                    s,
                    now,
                    "member/" + s.localId(),
                    "membership",
                    "joined, epoch %d".formatted(s.appliedState().membership().epoch().number())));
  }

  private static Transition noteSnapshot(State state, AppliedState before, long now) {
    if (state.appliedState().snapshotAt() == before.snapshotAt() && before.offset() >= 0) {
      return Transition.of(state);
    }
    long due = now + state.localMember().timing().snapshotInterval();
    return Transition.of(state.withLog(state.log().withSnapshotDueAt(due)));
  }

  private static Transition explainFleet(State state, AppliedState before, long now) {
    if (state.appliedState().fleet().equals(before.fleet())) {
      return Transition.of(state);
    }
    Transition step = Transition.of(state);
    for (FleetInstance instance : state.appliedState().fleet().instances().values()) {
      if (hasChanged(before.fleet().get(instance.id()), instance)) {
        step = step.then(s -> explain(s, instance, now));
      }
    }
    return step;
  }

  private static boolean hasChanged(@Nullable FleetInstance before, FleetInstance after) {
    return before == null
        || !before.phase().equals(after.phase())
        || !before.pool().equals(after.pool())
        || before.observed().condition() != after.observed().condition();
  }

  private static Transition explain(State state, FleetInstance instance, long now) {
    String condition = instance.observed().condition().name().toLowerCase(Locale.ROOT);
    return Journaling.decide(
        state,
        now,
        "instance/" + instance.id(),
        "fleet",
        "pool %s, %s, %s".formatted(instance.pool(), instance.phase().description(), condition));
  }
}
