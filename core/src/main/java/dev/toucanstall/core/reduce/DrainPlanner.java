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

/** Brings drains to their end, or calls them off when the availability budget breaks. Pure. */
final class DrainPlanner {

  private DrainPlanner() {}

  static Transition plan(State state, PoolId pool, long now) {
    Transition step = Transition.of(state);
    for (FleetInstance instance : state.appliedState().fleet().instancesInPool(pool)) {
      step =
          switch (instance.phase()) {
            case InstancePhase.Serving serving -> step;
            case InstancePhase.Draining draining ->
                step.then(s -> finishDrain(s, instance, draining, now));
            case InstancePhase.Empty empty -> step.then(s -> goOn(s, instance, empty, now));
          };
    }
    return step.then(s -> callOff(s, pool, now));
  }

  private static Transition finishDrain(
      State state, FleetInstance instance, InstancePhase.Draining draining, long now) {
    return isEmptyEverywhere(state, instance.id(), draining.since())
        ? OutboxRules.append(
            state, new RecordBody.InstanceEmptied(instance.id(), draining.since()), now)
        : Transition.of(state);
  }

  /**
   * Tells whether every member has folded a drain and has nothing in flight at the instance, and
   * whoever held slots before is fenced.
   */
  static boolean isEmptyEverywhere(State state, InstanceId id, long since) {
    long epoch = state.appliedState().membership().epoch().number();
    boolean settled = state.slots().clearedEpoch() == epoch && state.slots().quarantineUntil() == 0;
    return settled
        && RequestRules.runningOn(state, id) == 0
        && state.appliedState().membership().active().keySet().stream()
            .filter(member -> !member.equals(state.localId()))
            .allMatch(member -> saysEmpty(state, member, id, since, epoch));
  }

  private static boolean saysEmpty(
      State state, MemberId member, InstanceId id, long since, long epoch) {
    PeerView view = state.peers().get(member);
    return view != null
        && Freshness.isCurrent(state, member)
        && view.foldedOffset() >= since
        && view.shrunkToEpoch() >= epoch
        && !view.busyInstances().contains(id);
  }

  private static Transition goOn(
      State state, FleetInstance instance, InstancePhase.Empty empty, long now) {
    return switch (empty.reason()) {
      case DrainReason.Move move ->
          OutboxRules.append(
              state, new RecordBody.InstanceMoved(instance.id(), instance.pool(), move.to()), now);
      case DrainReason.Maintenance maintenance -> restart(state, instance, empty);
      case DrainReason.Repair repair -> restart(state, instance, empty);
    };
  }

  private static Transition restart(
      State state, FleetInstance instance, InstancePhase.Empty empty) {
    boolean restarted = instance.observed().incarnation() > empty.incarnation();
    return restarted
        ? Transition.of(state)
        : Transition.of(state, new Effect.RestartInstance(instance.id(), empty.incarnation()));
  }

  /** Calls off the newest drain that is not complete while the pool is over its budget. */
  private static Transition callOff(State state, PoolId id, long now) {
    Pool pool = state.appliedState().settings().pools().get(id);
    if (pool == null || !state.appliedState().fleet().isOverBudget(pool)) {
      return Transition.of(state);
    }
    Optional<FleetInstance> newest =
        state.appliedState().fleet().instancesInPool(id).stream()
            .filter(instance -> instance.phase() instanceof InstancePhase.Draining)
            .max(Comparator.comparingLong(DrainPlanner::since));
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

  private static long since(FleetInstance instance) {
    return instance.phase() instanceof InstancePhase.Draining draining ? draining.since() : -1;
  }
}
