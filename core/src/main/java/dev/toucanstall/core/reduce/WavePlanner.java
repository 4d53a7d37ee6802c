package dev.toucanstall.core.reduce;

import dev.toucanstall.core.fold.DrainRules;
import dev.toucanstall.core.fold.Fleet;
import dev.toucanstall.core.fold.FleetInstance;
import dev.toucanstall.core.fold.InstancePhase;
import dev.toucanstall.core.model.DomainId;
import dev.toucanstall.core.model.PoolId;
import dev.toucanstall.core.model.WaveId;
import dev.toucanstall.core.record.Condition;
import dev.toucanstall.core.record.DrainReason;
import dev.toucanstall.core.record.RecordBody;
import dev.toucanstall.core.settings.Wave;
import dev.toucanstall.core.state.State;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Proposes the next drains for maintenance waves, moves configured by operators and repairs. Pure.
 */
final class WavePlanner {

  /** Suspensions in a row from which on an instance is restarted. */
  private static final int REPAIR_AFTER_SUSPENSIONS = 4;

  private WavePlanner() {}

  static Transition plan(State state, PoolId pool, long now) {
    Transition transition = Transition.of(state);
    for (Wave wave : state.appliedState().settings().waves().values()) {
      if (wave.running() && wave.pool().equals(pool)) {
        transition = transition.then(s -> proposeWaveDrain(s, wave, now));
      }
    }
    return transition
        .then(s -> proposeConfiguredMove(s, pool, now))
        .then(s -> proposeRepair(s, pool, now));
  }

  /**
   * Proposes the next drain of a wave, unless as many instances as the wave may drain in parallel
   * are out of service.
   *
   * <p>Failure domains that already have an instance out of service come first, as they do not
   * count further against the budget of domains; after that the order is by domain and name.
   */
  private static Transition proposeWaveDrain(State state, Wave wave, long now) {
    Fleet fleet = state.appliedState().fleet();
    List<FleetInstance> inProgress =
        fleet.instancesInPool(wave.pool()).stream()
            .filter(instance -> !instance.phase().takesWork())
            .toList();
    if (inProgress.size() >= wave.maxParallel()) {
      return Transition.of(state);
    }
    Set<DomainId> domains =
        inProgress.stream().map(i -> i.observed().domain()).collect(Collectors.toSet());
    Comparator<FleetInstance> sameDomainFirst =
        Comparator.comparing(i -> !domains.contains(i.observed().domain()));
    DrainReason reason = new DrainReason.Maintenance(wave.id());
    return fleet.instancesInPool(wave.pool()).stream()
        .filter(instance -> isDue(instance, wave.id()))
        .sorted(
            sameDomainFirst
                .thenComparing(i -> i.observed().domain())
                .thenComparing(FleetInstance::id))
        .filter(i -> DrainRules.refusalReason(state.appliedState(), i, reason).isEmpty())
        .findFirst()
        .map(i -> proposeDrain(state, i, reason, now))
        .orElseGet(() -> Transition.of(state));
  }

  /** Tells whether a wave has yet to restart an instance, and the instance is up and serving. */
  static boolean isDue(FleetInstance instance, WaveId wave) {
    return !wave.equals(instance.lastWave())
        && instance.phase() instanceof InstancePhase.Serving
        && instance.observed().condition() == Condition.UP;
  }

  private static Transition proposeDrain(
      State state, FleetInstance instance, DrainReason reason, long now) {
    return OutboxRules.append(state, new RecordBody.DrainStarted(instance.id(), reason), now)
        .then(
            s ->
                DecisionRecorder.record(
                    s,
                    now,
                    "instance/" + instance.id(),
                    "drain",
                    "proposed to drain for " + reason.description()));
  }

  /** Proposes to move one instance to the pool that the settings assign to it. */
  private static Transition proposeConfiguredMove(State state, PoolId pool, long now) {
    return state.appliedState().fleet().instancesInPool(pool).stream()
        .filter(instance -> instance.phase().takesWork())
        .flatMap(instance -> configuredMove(state, instance).stream())
        .findFirst()
        .map(
            move ->
                proposeDrain(state, move.instance(), new DrainReason.Move(move.targetPool()), now))
        .orElseGet(() -> Transition.of(state));
  }

  private record PlannedMove(FleetInstance instance, PoolId targetPool) {}

  /**
   * Returns the move of an instance to its assigned pool, empty if it is there, may not be drained
   * now or is in a pool that scales automatically.
   */
  private static Optional<PlannedMove> configuredMove(State state, FleetInstance instance) {
    PoolId configuredPool = state.appliedState().settings().placements().get(instance.id());
    boolean mayMove =
        configuredPool != null
            && !configuredPool.equals(instance.pool())
            && !MovePlanner.isAutomatic(state, instance.pool())
            && DrainRules.refusalReason(
                    state.appliedState(), instance, new DrainReason.Move(configuredPool))
                .isEmpty();
    return mayMove && configuredPool != null
        ? Optional.of(new PlannedMove(instance, configuredPool))
        : Optional.empty();
  }

  private static Transition proposeRepair(State state, PoolId pool, long now) {
    return state.appliedState().fleet().instancesInPool(pool).stream()
        .filter(instance -> instance.phase().takesWork())
        .filter(instance -> state.healthOf(instance.id()).suspensions() >= REPAIR_AFTER_SUSPENSIONS)
        .filter(
            instance ->
                DrainRules.refusalReason(
                        state.appliedState(), instance, repairReason(state, instance))
                    .isEmpty())
        .findFirst()
        .map(instance -> proposeDrain(state, instance, repairReason(state, instance), now))
        .orElseGet(() -> Transition.of(state));
  }

  private static DrainReason repairReason(State state, FleetInstance instance) {
    return new DrainReason.Repair(
        "suspended %d times in a row".formatted(state.healthOf(instance.id()).suspensions()));
  }
}
