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
 * Proposes the next drains of maintenance waves, of moves that operators ask for and of repairs.
 */
final class WavePlanner {

  private static final int REPAIR_AFTER_SUSPENSIONS = 4;

  private WavePlanner() {}

  static Transition plan(State state, PoolId pool, long now) {
    Transition step = Transition.of(state);
    for (Wave wave : state.appliedState().settings().waves().values()) {
      if (wave.running() && wave.pool().equals(pool)) {
        step = step.then(s -> next(s, wave, now));
      }
    }
    return step.then(s -> movePlaced(s, pool, now)).then(s -> repair(s, pool, now));
  }

  private static Transition next(State state, Wave wave, long now) {
    Fleet fleet = state.appliedState().fleet();
    List<FleetInstance> underWay =
        fleet.instancesInPool(wave.pool()).stream()
            .filter(instance -> !instance.phase().takesWork())
            .toList();
    if (underWay.size() >= wave.maxParallel()) {
      return Transition.of(state);
    }
    Set<DomainId> domains =
        underWay.stream().map(i -> i.observed().domain()).collect(Collectors.toSet());
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
        .map(i -> drain(state, i, reason, now))
        .orElseGet(() -> Transition.of(state));
  }

  /** Tells whether a wave has still to visit an instance. */
  static boolean isDue(FleetInstance instance, WaveId wave) {
    return !wave.equals(instance.lastWave())
        && instance.phase() instanceof InstancePhase.Serving
        && instance.observed().condition() == Condition.UP;
  }

  private static Transition drain(
      State state, FleetInstance instance, DrainReason reason, long now) {
    return OutboxRules.append(state, new RecordBody.DrainStarted(instance.id(), reason), now)
        .then(
            s ->
                Journaling.decide(
                    s,
                    now,
                    "instance/" + instance.id(),
                    "drain",
                    "proposed to drain for " + reason.description()));
  }

  private static Transition movePlaced(State state, PoolId pool, long now) {
    return state.appliedState().fleet().instancesInPool(pool).stream()
        .filter(instance -> instance.phase().takesWork())
        .flatMap(instance -> placedElsewhere(state, instance).stream())
        .findFirst()
        .map(move -> drain(state, move.instance(), new DrainReason.Move(move.to()), now))
        .orElseGet(() -> Transition.of(state));
  }

  private record PlannedMove(FleetInstance instance, PoolId to) {}

  private static Optional<PlannedMove> placedElsewhere(State state, FleetInstance instance) {
    PoolId placed = state.appliedState().settings().placements().get(instance.id());
    boolean moves =
        placed != null
            && !placed.equals(instance.pool())
            && !MovePlanner.isAutomatic(state, instance.pool())
            && DrainRules.refusalReason(
                    state.appliedState(), instance, new DrainReason.Move(placed))
                .isEmpty();
    return moves && placed != null
        ? Optional.of(new PlannedMove(instance, placed))
        : Optional.empty();
  }

  private static Transition repair(State state, PoolId pool, long now) {
    return state.appliedState().fleet().instancesInPool(pool).stream()
        .filter(instance -> instance.phase().takesWork())
        .filter(instance -> state.healthOf(instance.id()).suspensions() >= REPAIR_AFTER_SUSPENSIONS)
        .filter(
            instance ->
                DrainRules.refusalReason(state.appliedState(), instance, evidence(state, instance))
                    .isEmpty())
        .findFirst()
        .map(instance -> drain(state, instance, evidence(state, instance), now))
        .orElseGet(() -> Transition.of(state));
  }

  private static DrainReason evidence(State state, FleetInstance instance) {
    return new DrainReason.Repair(
        "suspended %d times in a row".formatted(state.healthOf(instance.id()).suspensions()));
  }
}
