package dev.toucanstall.core.reduce;

import dev.toucanstall.core.effect.Effect;
import dev.toucanstall.core.fold.Epoch;
import dev.toucanstall.core.fold.FleetInstance;
import dev.toucanstall.core.fold.Folded;
import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.record.Member;
import dev.toucanstall.core.state.Life;
import dev.toucanstall.core.state.PeerView;
import dev.toucanstall.core.state.Peers;
import dev.toucanstall.core.state.State;
import java.util.List;
import java.util.Locale;
import org.jspecify.annotations.Nullable;
import org.pcollections.TreePMap;

/** Updates the state that depends on the log after records were applied. Pure. */
final class AfterFold {

  private AfterFold() {}

  /**
   * Updates everything that depends on the applied state.
   *
   * @param state the state with the new records applied
   * @param before the applied state before those records
   * @param now time of the event, in nanoseconds of the monotonic clock
   */
  static Step react(State state, Folded before, long now) {
    State versioned = state.withSlots(state.slots().withNextVersion());
    return Step.of(noteEpochs(versioned, before, now))
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

  /**
   * Records when each new epoch was applied and drops the times of epochs that are no longer
   * retained.
   */
  private static State noteEpochs(State state, Folded before, long now) {
    long last = before.membership().epoch().number();
    State next = state;
    for (Epoch epoch : state.folded().membership().epochs()) {
      if (epoch.number() > last) {
        next = next.withSlots(next.slots().withEpochFolded(epoch.number(), now));
      }
    }
    return next.withSlots(next.slots().keepingEpochs(state.folded().membership().epochs()));
  }

  /** Requests links to exactly the other members, if the members have changed. */
  private static Step relink(State state, Folded before, long now) {
    TreePMap<MemberId, Member> wanted = state.folded().membership().reachable().minus(state.me());
    if (wanted.equals(before.membership().reachable().minus(state.me()))) {
      return Step.of(state);
    }
    TreePMap<MemberId, PeerView> views = TreePMap.empty();
    for (MemberId peer : wanted.keySet()) {
      views = views.plus(peer, state.peers().getOrUnheard(peer, now));
    }
    Peers peers = state.peers().withViews(views);
    return Step.of(state.withPeers(peers), new Effect.LinkTo(List.copyOf(wanted.values())));
  }

  /** Enters the serving state once this incarnation is an active member. */
  private static Step becomeMember(State state, long now) {
    if (state.self().life() != Life.JOINING || !state.isMember()) {
      return Step.of(state);
    }
    return Step.of(state.withSelf(state.self().withLife(Life.SERVING, now)))
        .then(
            s ->
                Journaling.decide(
                    s,
                    now,
                    "member/" + s.me(),
                    "membership",
                    "joined, epoch %d".formatted(s.folded().membership().epoch().number())));
  }

  /** Schedules the next snapshot after one was read from the log, and at the first record. */
  private static Step noteSnapshot(State state, Folded before, long now) {
    if (state.folded().snapshotAt() == before.snapshotAt() && before.offset() >= 0) {
      return Step.of(state);
    }
    long due = now + state.self().timing().snapshotEvery();
    return Step.of(state.withLog(state.log().withSnapshotDueAt(due)));
  }

  /** Records a decision for each instance of the fleet that has changed for operators. */
  private static Step explainFleet(State state, Folded before, long now) {
    if (state.folded().fleet().equals(before.fleet())) {
      return Step.of(state);
    }
    Step step = Step.of(state);
    for (FleetInstance instance : state.folded().fleet().instances().values()) {
      if (hasChanged(before.fleet().get(instance.id()), instance)) {
        step = step.then(s -> explain(s, instance, now));
      }
    }
    return step;
  }

  /** Tells whether the phase, pool or condition of an instance differs. */
  private static boolean hasChanged(@Nullable FleetInstance before, FleetInstance after) {
    return before == null
        || !before.phase().equals(after.phase())
        || !before.pool().equals(after.pool())
        || before.observed().condition() != after.observed().condition();
  }

  private static Step explain(State state, FleetInstance instance, long now) {
    String condition = instance.observed().condition().name().toLowerCase(Locale.ROOT);
    return Journaling.decide(
        state,
        now,
        "instance/" + instance.id(),
        "fleet",
        "pool %s, %s, %s".formatted(instance.pool(), instance.phase().text(), condition));
  }
}
