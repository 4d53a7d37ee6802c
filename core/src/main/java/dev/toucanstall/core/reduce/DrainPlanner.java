package dev.toucanstall.core.reduce;

import dev.toucanstall.core.effect.Effect;
import dev.toucanstall.core.fold.FleetInstance;
import dev.toucanstall.core.fold.InstancePhase;
import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.model.PoolId;
import dev.toucanstall.core.record.DrainReason;
import dev.toucanstall.core.record.RecordBody;
import dev.toucanstall.core.settings.Pool;
import dev.toucanstall.core.state.PeerView;
import dev.toucanstall.core.state.State;
import java.util.Comparator;
import java.util.Optional;

/**
 * Completes the drains of a pool, or cancels them when the pool exceeds its availability budget.
 * Pure.
 */
final class DrainPlanner {

  private DrainPlanner() {}

  static Transition plan(State state, PoolId pool, long now) {
    Transition transition = Transition.of(state);
    for (FleetInstance instance : state.appliedState().fleet().instancesInPool(pool)) {
      transition =
          switch (instance.phase()) {
            case InstancePhase.Serving serving -> transition;
            case InstancePhase.Draining draining ->
                transition.then(s -> finishDrain(s, instance, draining, now));
            case InstancePhase.Empty empty ->
                transition.then(s -> proceedFromEmpty(s, instance, empty, now));
          };
    }
    return transition.then(s -> cancelIfOverBudget(s, pool, now));
  }

  private static Transition finishDrain(
      State state, FleetInstance instance, InstancePhase.Draining draining, long now) {
    return isEmptyAtAllMembers(state, instance.id(), draining.since())
        ? OutboxRules.append(
            state, new RecordBody.InstanceEmptied(instance.id(), draining.since()), now)
        : Transition.of(state);
  }

  /**
   * Tells whether an instance runs nothing: every active member has applied the drain and has no
   * request in flight on the instance, and the members of earlier epochs have shrunk or are fenced.
   *
   * @param since offset of the record that began the drain
   */
  static boolean isEmptyAtAllMembers(State state, InstanceId id, long since) {
    long epoch = state.appliedState().membership().epoch().number();
    boolean earlierEpochsCleared =
        state.slots().clearedEpoch() == epoch && state.slots().quarantineUntil() == 0;
    return earlierEpochsCleared
        && RequestRules.runningOn(state, id) == 0
        && state.appliedState().membership().active().keySet().stream()
            .filter(member -> !member.equals(state.localId()))
            .allMatch(member -> reportsEmpty(state, member, id, since, epoch));
  }

  /** Tells whether a member's last heartbeat shows that it has nothing in flight on an instance. */
  private static boolean reportsEmpty(
      State state, MemberId member, InstanceId id, long since, long epoch) {
    PeerView view = state.peers().get(member);
    return view != null
        && Freshness.isCurrent(state, member)
        && view.foldedOffset() >= since
        && view.shrunkToEpoch() >= epoch
        && !view.busyInstances().contains(id);
  }

  private static Transition proceedFromEmpty(
      State state, FleetInstance instance, InstancePhase.Empty empty, long now) {
    return switch (empty.reason()) {
      case DrainReason.Move move ->
          OutboxRules.append(
              state, new RecordBody.InstanceMoved(instance.id(), instance.pool(), move.to()), now);
      case DrainReason.Maintenance maintenance -> restart(state, instance, empty);
      case DrainReason.Repair repair -> restart(state, instance, empty);
    };
  }

  /**
   * Restarts an empty instance, unless a later incarnation of it is already on the list. The
   * request is repeated with every plan and names the incarnation to end, so that it never ends a
   * later one.
   */
  private static Transition restart(
      State state, FleetInstance instance, InstancePhase.Empty empty) {
    boolean restarted = instance.observed().incarnation() > empty.incarnation();
    return restarted
        ? Transition.of(state)
        : Transition.of(state, new Effect.RestartInstance(instance.id(), empty.incarnation()));
  }

  /** Cancels the newest incomplete drain if the pool exceeds its availability budget. */
  private static Transition cancelIfOverBudget(State state, PoolId id, long now) {
    Pool pool = state.appliedState().settings().pools().get(id);
    if (pool == null || !state.appliedState().fleet().isOverBudget(pool)) {
      return Transition.of(state);
    }
    Optional<FleetInstance> newest =
        state.appliedState().fleet().instancesInPool(id).stream()
            .filter(instance -> instance.phase() instanceof InstancePhase.Draining)
            .max(Comparator.comparingLong(DrainPlanner::drainOffset));
    return newest
        .map(
            instance ->
                OutboxRules.append(
                    state,
                    new RecordBody.DrainCancelled(
                        instance.id(), "pool \"%s\" is over its availability budget".formatted(id)),
                    now))
        .orElseGet(() -> Transition.of(state));
  }

  /** Returns the offset of the drain, -1 if the instance is not draining. */
  private static long drainOffset(FleetInstance instance) {
    return instance.phase() instanceof InstancePhase.Draining draining ? draining.since() : -1;
  }
}
