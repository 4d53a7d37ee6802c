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

/** Updates the state that depends on the log after records were applied. Pure. */
final class FoldReactions {

  private FoldReactions() {}

  /**
   * Updates everything that depends on the applied state.
   *
   * @param state the state with the new records applied
   * @param before the applied state before those records
   */
  static Transition react(State state, AppliedState before, long now) {
    State reallocated = state.withSlots(state.slots().withNextAllocationVersion());
    return Transition.of(recordEpochs(reallocated, before, now))
        .then(s -> updateLinks(s, before, now))
        .mapState(Freshness::refreshMajorityContact)
        .then(s -> enterServing(s, now))
        .then(s -> scheduleSnapshot(s, before, now))
        .then(s -> recordFleetChanges(s, before, now))
        .then(s -> RequestRules.requeueMoved(s, before))
        .then(s -> MembershipRules.propose(s, now))
        .then(s -> DispatchRules.dispatchAll(s, now))
        .then(s -> LifecycleReducer.updateReadiness(s, now));
  }

  private static State recordEpochs(State state, AppliedState before, long now) {
    long lastEpoch = before.membership().epoch().number();
    State next = state;
    for (Epoch epoch : state.appliedState().membership().epochs()) {
      if (epoch.number() > lastEpoch) {
        next = next.withSlots(next.slots().withEpochFolded(epoch.number(), now));
      }
    }
    return next.withSlots(next.slots().retainEpochs(state.appliedState().membership().epochs()));
  }

  /** Requests links to exactly the other members, if the members have changed. */
  private static Transition updateLinks(State state, AppliedState before, long now) {
    TreePMap<MemberId, Member> desired =
        state.appliedState().membership().allMembers().minus(state.localId());
    if (desired.equals(before.membership().allMembers().minus(state.localId()))) {
      return Transition.of(state);
    }
    TreePMap<MemberId, PeerView> views = TreePMap.empty();
    for (MemberId peer : desired.keySet()) {
      views = views.plus(peer, state.peers().getOrInitial(peer, now));
    }
    Peers peers = state.peers().withViews(views);
    return Transition.of(state.withPeers(peers), new Effect.LinkTo(List.copyOf(desired.values())));
  }

  /** Enters the serving state once this incarnation is an active member. */
  private static Transition enterServing(State state, long now) {
    if (state.localMember().lifecycle() != LifecycleState.JOINING || !state.isMember()) {
      return Transition.of(state);
    }
    return Transition.of(
            state.withLocalMember(state.localMember().withLifecycle(LifecycleState.SERVING, now)))
        .then(
            s ->
                DecisionRecorder.record(
                    s,
                    now,
                    "member/" + s.localId(),
                    "membership",
                    "joined, epoch %d".formatted(s.appliedState().membership().epoch().number())));
  }

  /** Schedules the next snapshot after one was read from the log, and at the first record. */
  private static Transition scheduleSnapshot(State state, AppliedState before, long now) {
    if (state.appliedState().snapshotAt() == before.snapshotAt() && before.offset() >= 0) {
      return Transition.of(state);
    }
    long dueAt = now + state.localMember().timing().snapshotInterval();
    return Transition.of(state.withLog(state.log().withSnapshotDueAt(dueAt)));
  }

  private static Transition recordFleetChanges(State state, AppliedState before, long now) {
    if (state.appliedState().fleet().equals(before.fleet())) {
      return Transition.of(state);
    }
    Transition transition = Transition.of(state);
    for (FleetInstance instance : state.appliedState().fleet().instances().values()) {
      if (hasChanged(before.fleet().get(instance.id()), instance)) {
        transition = transition.then(s -> recordInstanceChange(s, instance, now));
      }
    }
    return transition;
  }

  private static boolean hasChanged(@Nullable FleetInstance before, FleetInstance after) {
    return before == null
        || !before.phase().equals(after.phase())
        || !before.pool().equals(after.pool())
        || before.observed().condition() != after.observed().condition();
  }

  private static Transition recordInstanceChange(State state, FleetInstance instance, long now) {
    String condition = instance.observed().condition().name().toLowerCase(Locale.ROOT);
    return DecisionRecorder.record(
        state,
        now,
        "instance/" + instance.id(),
        "fleet",
        "pool %s, %s, %s".formatted(instance.pool(), instance.phase().description(), condition));
  }
}
