package dev.toucanstall.core.fold;

import dev.toucanstall.core.record.DrainReason;

/**
 * Phase of an instance between serving and a restart or move. Encoded in snapshots with its kind
 * and component names.
 */
public sealed interface InstancePhase {

  /** The instance takes requests of its pool. */
  record Serving() implements InstancePhase {}

  /**
   * The instance takes no new requests and finishes those that it runs.
   *
   * @param since offset of the record that started the drain
   * @param reason reason of the drain
   */
  record Draining(long since, DrainReason reason) implements InstancePhase {}

  /**
   * The instance runs no requests; the platform is requested to restart it, or it changes its pool.
   *
   * @param since offset of the record that started the drain
   * @param reason reason of the drain
   * @param incarnation incarnation of the instance at the end of the drain, which is to be
   *     restarted
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
   * Returns the name of the phase for operators.
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
   * Returns a description of the phase for operators, with the offset and reason of a drain.
   *
   * @return the description, such as "draining since 13 for wave spring"
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
   * Tells whether the instance takes new requests.
   *
   * @return true while it serves
   */
  default boolean takesWork() {
    return this instanceof Serving;
  }
}
