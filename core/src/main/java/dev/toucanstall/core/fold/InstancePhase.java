package dev.toucanstall.core.fold;

import dev.toucanstall.core.record.DrainReason;

/** Where an instance is between serving and a restart or move. */
public sealed interface InstancePhase {

  /** Takes work of its pool. */
  record Serving() implements InstancePhase {}

  /**
   * Takes no new work and finishes what it runs.
   *
   * @param since the offset of the drain
   * @param reason why
   */
  record Draining(long since, DrainReason reason) implements InstancePhase {}

  /**
   * Runs nothing; the platform is asked to restart it, or it changes its pool.
   *
   * @param since the offset of the drain
   * @param reason why it was drained
   * @param incarnation the start of it that is to end
   */
  record Empty(long since, DrainReason reason, long incarnation) implements InstancePhase {}

  /**
   * Returns the phase of an instance that serves.
   *
   * @return the phase
   */
  static InstancePhase serving() {
    return new Serving();
  }

  /**
   * Returns the phase in one word.
   *
   * @return "serving", "draining" or "empty"
   */
  default String label() {
    return switch (this) {
      case Serving serving -> "serving";
      case Draining draining -> "draining";
      case Empty empty -> "empty";
    };
  }

  /**
   * Returns the phase in words for operators, with the reason of a drain.
   *
   * @return such as "draining since 13 for wave spring"
   */
  default String description() {
    return switch (this) {
      case Serving serving -> label();
      case Draining draining ->
          "draining since %d for %s".formatted(draining.since(), draining.reason().description());
      case Empty empty ->
          "empty, drained since %d for %s".formatted(empty.since(), empty.reason().description());
    };
  }

  /**
   * Tells whether the instance takes new work.
   *
   * @return true while serving
   */
  default boolean takesWork() {
    return this instanceof Serving;
  }
}
