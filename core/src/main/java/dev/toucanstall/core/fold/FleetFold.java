package dev.toucanstall.core.fold;

import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.model.PoolId;
import dev.toucanstall.core.model.WaveId;
import dev.toucanstall.core.record.Condition;
import dev.toucanstall.core.record.DrainReason;
import dev.toucanstall.core.record.LogEntry;
import dev.toucanstall.core.record.Observation;
import dev.toucanstall.core.record.RecordBody;
import dev.toucanstall.core.settings.Pool;
import dev.toucanstall.core.settings.Wave;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Folds what happens to the instances of the fleet. Pure. */
final class FleetFold {

  /** The pool of instances that no operator has placed; no service runs in it. */
  static final PoolId UNPLACED = new PoolId("unplaced");

  private FleetFold() {}

  /** Takes over observations; an instance that restarted while empty serves again. */
  static FoldResult observe(AppliedState state, RecordBody.InstancesObserved observed) {
    Fleet fleet = state.fleet();
    for (Observation observation : observed.observations()) {
      fleet = fleet.with(observe(state, fleet, observation));
    }
    return FoldResult.applied(place(state.withFleet(fleet)));
  }

  private static FleetInstance observe(AppliedState state, Fleet fleet, Observation observation) {
    FleetInstance known = fleet.get(observation.id());
    if (known == null) {
      PoolId placed = state.settings().placements().get(observation.id());
      return new FleetInstance(
          observation, placed == null ? UNPLACED : placed, InstancePhase.serving(), null);
    }
    if (observation.incarnation() < known.observed().incarnation()) {
      return known;
    }
    FleetInstance next = known.withObservation(observation);
    boolean returned =
        known.phase() instanceof InstancePhase.Empty empty
            && observation.incarnation() > empty.incarnation()
            && observation.condition() == Condition.UP;
    return returned ? next.returnedFrom(waveOf(known.phase())) : next;
  }

  private static @Nullable WaveId waveOf(InstancePhase phase) {
    return phase instanceof InstancePhase.Empty empty
            && empty.reason() instanceof DrainReason.Maintenance maintenance
        ? maintenance.wave()
        : null;
  }

  /** Starts a drain if the instance serves and its pool's availability budget still holds. */
  static FoldResult startDrain(AppliedState state, LogEntry entry, RecordBody.DrainStarted drain) {
    FleetInstance instance = state.fleet().get(drain.instance());
    if (instance == null || !instance.phase().takesWork()) {
      return FoldResult.refused(
          state, "instance \"%s\" does not serve".formatted(drain.instance()));
    }
    Optional<String> problem = drainProblem(state, instance, drain.reason());
    if (problem.isPresent()) {
      return FoldResult.refused(state, problem.get());
    }
    InstancePhase draining = new InstancePhase.Draining(entry.offset(), drain.reason());
    return FoldResult.applied(state.withFleet(state.fleet().with(instance.withPhase(draining))));
  }

  /** Says why a drain does not fit the state; the planner asks before it proposes. */
  static Optional<String> drainProblem(
      AppliedState state, FleetInstance instance, DrainReason reason) {
    Pool pool = state.settings().pools().get(instance.pool());
    if (pool == null) {
      return Optional.empty();
    }
    if (reason instanceof DrainReason.Maintenance maintenance) {
      Wave wave = state.settings().waves().get(maintenance.wave());
      if (wave == null || !wave.running() || !wave.pool().equals(instance.pool())) {
        return Optional.of(
            "wave \"%s\" does not run in pool \"%s\""
                .formatted(maintenance.wave(), instance.pool()));
      }
    }
    boolean alreadyCounted = instance.observed().condition() != Condition.UP;
    return alreadyCounted ? Optional.empty() : state.fleet().budgetViolation(instance.id(), pool);
  }

  /** Calls off a drain that is not complete. */
  static FoldResult cancelDrain(AppliedState state, RecordBody.DrainCancelled cancelled) {
    FleetInstance instance = state.fleet().get(cancelled.instance());
    if (instance == null || !(instance.phase() instanceof InstancePhase.Draining)) {
      return FoldResult.refused(
          state, "instance \"%s\" does not drain".formatted(cancelled.instance()));
    }
    return FoldResult.applied(
        state.withFleet(state.fleet().with(instance.withPhase(InstancePhase.serving()))));
  }

  /** Notes that a drain is complete. */
  static FoldResult empty(AppliedState state, RecordBody.InstanceEmptied emptied) {
    FleetInstance instance = state.fleet().get(emptied.instance());
    if (instance == null
        || !(instance.phase() instanceof InstancePhase.Draining draining)
        || draining.since() != emptied.drain()) {
      return FoldResult.refused(
          state,
          "instance \"%s\" does not drain since %d".formatted(emptied.instance(), emptied.drain()));
    }
    InstancePhase empty =
        new InstancePhase.Empty(
            draining.since(), draining.reason(), instance.observed().incarnation());
    return FoldResult.applied(state.withFleet(state.fleet().with(instance.withPhase(empty))));
  }

  /** Moves an empty instance to its new pool, where it serves. */
  static FoldResult move(AppliedState state, RecordBody.InstanceMoved moved) {
    FleetInstance instance = state.fleet().get(moved.instance());
    boolean fits =
        instance != null
            && instance.pool().equals(moved.from())
            && instance.phase() instanceof InstancePhase.Empty empty
            && empty.reason() instanceof DrainReason.Move move
            && move.to().equals(moved.to());
    if (!fits || instance == null) {
      return FoldResult.refused(
          state,
          "instance \"%s\" is not empty for a move from \"%s\" to \"%s\""
              .formatted(moved.instance(), moved.from(), moved.to()));
    }
    return FoldResult.applied(state.withFleet(state.fleet().with(instance.movedTo(moved.to()))));
  }

  /** Places instances that were in no pool and that an operator has placed since. */
  static AppliedState place(AppliedState state) {
    Fleet fleet = state.fleet();
    for (InstanceId id : fleet.idsInPool(UNPLACED)) {
      PoolId placed = state.settings().placements().get(id);
      FleetInstance instance = fleet.get(id);
      if (placed != null && instance != null) {
        fleet = fleet.with(instance.movedTo(placed));
      }
    }
    return state.withFleet(fleet);
  }
}
