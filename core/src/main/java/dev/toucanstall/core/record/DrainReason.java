package dev.toucanstall.core.record;

import dev.toucanstall.core.model.PoolId;
import dev.toucanstall.core.model.WaveId;

/**
 * Reason of a drain. The reason determines whether the empty instance is restarted or moves to
 * another pool. Encoded with its kind and component names.
 */
public sealed interface DrainReason {

  /**
   * A maintenance wave restarts the instance.
   *
   * @param wave the wave
   */
  record Maintenance(WaveId wave) implements DrainReason {

    @Override
    public String description() {
      return "wave " + wave;
    }
  }

  /**
   * The instance moves to another pool.
   *
   * @param to the pool
   */
  record Move(PoolId to) implements DrainReason {

    @Override
    public String description() {
      return "a move to pool " + to;
    }
  }

  /**
   * The instance is restarted because its backend server fails requests.
   *
   * @param evidence observation that led to the drain, one sentence
   */
  record Repair(String evidence) implements DrainReason {

    @Override
    public String description() {
      return "repair: " + evidence;
    }
  }

  /**
   * Returns a description of the reason for operators.
   *
   * @return the description, such as "wave spring"
   */
  String description();
}
