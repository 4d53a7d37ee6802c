package dev.toucanstall.core.record;

import dev.toucanstall.core.model.PoolId;
import dev.toucanstall.core.model.WaveId;

/** Why an instance is drained, and what happens to it once it is empty. */
public sealed interface DrainReason {

  /**
   * A maintenance wave restarts it.
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
   * It moves to another pool.
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
   * Its backend server fails what it starts; it is restarted.
   *
   * @param evidence one sentence
   */
  record Repair(String evidence) implements DrainReason {

    @Override
    public String description() {
      return "repair: " + evidence;
    }
  }

  /**
   * Returns the reason in words for operators.
   *
   * @return such as "wave spring"
   */
  String description();
}
