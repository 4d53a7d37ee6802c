package dev.toucanstall.core.fold;

/**
 * Result of folding one record.
 *
 * @param state state after the record
 * @param outcome outcome of the record
 */
public record FoldResult(AppliedState state, RecordOutcome outcome) {

  static FoldResult accepted(AppliedState state) {
    return new FoldResult(state, new RecordOutcome.Accepted());
  }

  static FoldResult refused(AppliedState state, String reason) {
    return new FoldResult(state, new RecordOutcome.Refused(reason));
  }
}
