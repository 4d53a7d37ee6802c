package dev.toucanstall.core.fold;

/**
 * The result of folding one record.
 *
 * @param state the state after it
 * @param outcome what became of it
 */
public record FoldStep(AppliedState state, Outcome outcome) {

  /** Makes the step of a record that took effect. */
  static FoldStep applied(AppliedState state) {
    return new FoldStep(state, new Outcome.Applied());
  }

  /** Makes the step of a record that no longer fits. */
  static FoldStep refused(AppliedState state, String why) {
    return new FoldStep(state, new Outcome.Refused(why));
  }
}
