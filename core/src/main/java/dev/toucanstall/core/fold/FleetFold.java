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

/** Folds records about the instances of the fleet. Pure. */
final class FleetFold {

  /** Pool of instances for which no setting names a pool; no service runs in it. */
  static final PoolId UNPLACED = new PoolId("unplaced");

  private FleetFold() {}

  /** Applies observations; an instance that has restarted while empty serves again. */
  static FoldResult observe(AppliedState state, RecordBody.InstancesObserved observed) {
    Fleet fleet = state.fleet();
    for (Observation observation : observed.observations()) {
      fleet = fleet.with(observe(state, fleet, observation));
    }
    return FoldResult.accepted(placeUnplaced(state.withFleet(fleet)));
  }

  private static FleetInstance observe(AppliedState state, Fleet fleet, Observation observation) {
    FleetInstance existing = fleet.get(observation.id());
    if (existing == null) {
      PoolId assignedPool = state.settings().placements().get(observation.id());
      return new FleetInstance(
          observation,
          assignedPool == null ? UNPLACED : assignedPool,
          InstancePhase.serving(),
          null);
    }
    if (observation.incarnation() < existing.observed().incarnation()) {
      return existing;
    }
    FleetInstance next = existing.withObservation(observation);
    boolean restarted =
        existing.phase() instanceof InstancePhase.Empty empty
            && observation.incarnation() > empty.incarnation()
            && observation.condition() == Condition.UP;
    return restarted ? next.restartedBy(waveOf(existing.phase())) : next;
  }

  private static @Nullable WaveId waveOf(InstancePhase phase) {
    return phase instanceof InstancePhase.Empty empty
            && empty.reason() instanceof DrainReason.Maintenance maintenance
        ? maintenance.wave()
        : null;
  }

  /** Starts a drain if the instance serves and the availability budget of its pool allows it. */
  static FoldResult startDrain(AppliedState state, LogEntry entry, RecordBody.DrainStarted drain) {
    FleetInstance instance = state.fleet().get(drain.instance());
    if (instance == null || !instance.phase().takesWork()) {
      return FoldResult.refused(
          state, "instance \"%s\" does not serve".formatted(drain.instance()));
    }
    Optional<String> refusal = drainRefusal(state, instance, drain.reason());
    if (refusal.isPresent()) {
      return FoldResult.refused(state, refusal.get());
    }
    InstancePhase draining = new InstancePhase.Draining(entry.offset(), drain.reason());
    return FoldResult.accepted(state.withFleet(state.fleet().with(instance.withPhase(draining))));
  }

  /** Returns the reason for which a drain is refused, empty if it is accepted. */
  static Optional<String> drainRefusal(
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

  static FoldResult cancelDrain(AppliedState state, RecordBody.DrainCancelled cancelled) {
    FleetInstance instance = state.fleet().get(cancelled.instance());
    if (instance == null || !(instance.phase() instanceof InstancePhase.Draining)) {
      return FoldResult.refused(
          state, "instance \"%s\" does not drain".formatted(cancelled.instance()));
    }
    return FoldResult.accepted(
        state.withFleet(state.fleet().with(instance.withPhase(InstancePhase.serving()))));
  }

  /** Completes a drain; its offset must be that of the instance's current drain. */
  static FoldResult completeDrain(AppliedState state, RecordBody.InstanceEmptied emptied) {
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
    return FoldResult.accepted(state.withFleet(state.fleet().with(instance.withPhase(empty))));
  }

  /** Moves an empty instance to the pool for which it was drained, where it serves. */
  static FoldResult move(AppliedState state, RecordBody.InstanceMoved moved) {
    FleetInstance instance = state.fleet().get(moved.instance());
    boolean valid =
        instance != null
            && instance.pool().equals(moved.from())
            && instance.phase() instanceof InstancePhase.Empty empty
            && empty.reason() instanceof DrainReason.Move move
            && move.to().equals(moved.to());
    if (!valid || instance == null) {
      return FoldResult.refused(
          state,
          "instance \"%s\" is not empty for a move from \"%s\" to \"%s\""
              .formatted(moved.instance(), moved.from(), moved.to()));
    }
    return FoldResult.accepted(state.withFleet(state.fleet().with(instance.movedTo(moved.to()))));
  }

  /** Moves unplaced instances to the pools that the current settings name for them. */
  static AppliedState placeUnplaced(AppliedState state) {
    Fleet fleet = state.fleet();
    for (InstanceId id : fleet.idsInPool(UNPLACED)) {
      PoolId assignedPool = state.settings().placements().get(id);
      FleetInstance instance = fleet.get(id);
      if (assignedPool != null && instance != null) {
        fleet = fleet.with(instance.movedTo(assignedPool));
      }
    }
    return state.withFleet(fleet);
  }
}
