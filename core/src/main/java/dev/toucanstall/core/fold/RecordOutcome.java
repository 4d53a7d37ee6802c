package dev.toucanstall.core.fold;

import java.util.Optional;

/** What became of a record in the fold. */
public sealed interface RecordOutcome {

  /** The record took effect. */
  record Accepted() implements RecordOutcome {}

  /** The record is a repeat of an earlier one and changes nothing. */
  record Repeated() implements RecordOutcome {}

  /**
   * The record no longer fits and changes nothing.
   *
   * @param reason one sentence
   */
  record Refused(String reason) implements RecordOutcome {}

  /**
   * Returns why the record was refused.
   *
   * @return the sentence, or empty if the record was not refused
   */
  default Optional<String> refusal() {
    return this instanceof Refused refused ? Optional.of(refused.reason()) : Optional.empty();
  }
}
