package dev.toucanstall.core.fold;

/**
 * The result of folding one record.
 *
 * @param state the state after it
 * @param outcome what became of it
 */
public record FoldResult(AppliedState state, RecordOutcome outcome) {

  /** Makes the step of a record that took effect. */
  static FoldResult applied(AppliedState state) {
    return new FoldResult(state, new RecordOutcome.Accepted());
  }

  /** Makes the step of a record that no longer fits. */
  static FoldResult refused(AppliedState state, String why) {
    return new FoldResult(state, new RecordOutcome.Refused(why));
  }
}
