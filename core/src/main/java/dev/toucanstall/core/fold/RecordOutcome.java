package dev.toucanstall.core.fold;

import java.util.Optional;

/** Outcome of folding a record. */
public sealed interface RecordOutcome {

  /** The record took effect. */
  record Accepted() implements RecordOutcome {}

  /** The record repeats an earlier one and has no effect. */
  record Repeated() implements RecordOutcome {}

  /**
   * The record contradicts the current state and has no effect.
   *
   * @param reason reason of the refusal, one sentence for operators
   */
  record Refused(String reason) implements RecordOutcome {}

  /**
   * Returns the reason for which the record was refused.
   *
   * @return the reason, empty if the record was not refused
   */
  default Optional<String> refusal() {
    return this instanceof Refused refused ? Optional.of(refused.reason()) : Optional.empty();
  }
}
