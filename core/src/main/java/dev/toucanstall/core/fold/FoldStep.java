package dev.toucanstall.core.fold;

/**
 * The result of folding one record.
 *
 * @param state the state after it
 * @param outcome what became of it
 */
public record FoldStep(Folded state, Outcome outcome) {

  /** Makes the step of a record that took effect. */
  static FoldStep applied(Folded state) {
    return new FoldStep(state, new Outcome.Applied());
  }

  /** Makes the step of a record that no longer fits. */
  static FoldStep refused(Folded state, String why) {
    return new FoldStep(state, new Outcome.Refused(why));
  }
}
