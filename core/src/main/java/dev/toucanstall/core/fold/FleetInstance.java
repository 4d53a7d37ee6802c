package dev.toucanstall.core.fold;

import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.model.PoolId;
import dev.toucanstall.core.model.WaveId;
import dev.toucanstall.core.record.Condition;
import dev.toucanstall.core.record.Observation;
import org.jspecify.annotations.Nullable;

/**
 * An instance of the fleet. It belongs to exactly one pool: the one in this field.
 *
 * @param observed what the platform's list said of it last
 * @param pool its pool
 * @param phase where it is between serving and a restart or move
 * @param lastWave the last wave that restarted it, null if none did
 */
public record FleetInstance(
    Observation observed, PoolId pool, InstancePhase phase, @Nullable WaveId lastWave) {

  /**
   * Returns the instance's name.
   *
   * @return the name
   */
  public InstanceId id() {
    return observed.id();
  }

  /**
   * Tells whether it counts as available in its pool's budget.
   *
   * @return true if it is up and serving
   */
  public boolean isAvailable() {
    return observed.condition() == Condition.UP && phase.takesWork();
  }

  /**
   * Returns the instance in another phase.
   *
   * @param next the phase
   * @return the new instance
   */
  public FleetInstance withPhase(InstancePhase next) {
    return new FleetInstance(observed, pool, next, lastWave);
  }

  /**
   * Returns the instance serving in another pool.
   *
   * @param next the pool
   * @return the new instance
   */
  public FleetInstance movedTo(PoolId next) {
    return new FleetInstance(observed, next, InstancePhase.serving(), lastWave);
  }

  /**
   * Returns the instance with a newer observation.
   *
   * @param next the observation
   * @return the new instance
   */
  public FleetInstance withObservation(Observation next) {
    return new FleetInstance(next, pool, phase, lastWave);
  }

  /**
   * Returns the instance serving again after a wave restarted it.
   *
   * @param wave the wave, null if it was no wave
   * @return the new instance
   */
  public FleetInstance returnedFrom(@Nullable WaveId wave) {
    return new FleetInstance(
        observed, pool, InstancePhase.serving(), wave == null ? lastWave : wave);
  }
}
