package dev.toucanstall.core.fold;

import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.model.PoolId;
import dev.toucanstall.core.model.WaveId;
import dev.toucanstall.core.record.Condition;
import dev.toucanstall.core.record.Observation;
import org.jspecify.annotations.Nullable;

/**
 * An instance of the fleet. Immutable. Encoded in snapshots with its component names.
 *
 * @param observed last observation by the platform's list
 * @param pool the only pool to which the instance belongs
 * @param phase phase between serving and a restart or move
 * @param lastWave last wave that restarted the instance, null if none has
 */
public record FleetInstance(
    Observation observed, PoolId pool, InstancePhase phase, @Nullable WaveId lastWave) {

  /**
   * Returns the name of the instance.
   *
   * @return the name
   */
  public InstanceId id() {
    return observed.id();
  }

  /**
   * Tells whether the instance counts as available in the budget of its pool.
   *
   * @return true if the instance is up and serves
   */
  public boolean isAvailable() {
    return observed.condition() == Condition.UP && phase.takesWork();
  }

  /**
   * Returns a copy in another phase.
   *
   * @param next the phase
   * @return the new instance
   */
  public FleetInstance withPhase(InstancePhase next) {
    return new FleetInstance(observed, pool, next, lastWave);
  }

  /**
   * Returns a copy that serves in another pool.
   *
   * @param next the pool
   * @return the new instance
   */
  public FleetInstance movedTo(PoolId next) {
    return new FleetInstance(observed, next, InstancePhase.serving(), lastWave);
  }

  /**
   * Returns a copy with a newer observation.
   *
   * @param next the observation
   * @return the new instance
   */
  public FleetInstance withObservation(Observation next) {
    return new FleetInstance(next, pool, phase, lastWave);
  }

  /**
   * Returns a copy that serves again after a restart.
   *
   * @param wave wave that restarted the instance, null if it was restarted otherwise
   * @return the new instance
   */
  public FleetInstance restartedBy(@Nullable WaveId wave) {
    return new FleetInstance(
        observed, pool, InstancePhase.serving(), wave == null ? lastWave : wave);
  }
}
