package dev.toucanstall.core.fold;

/**
 * Result of folding one record.
 *
 * @param state state after the record
 * @param outcome outcome of the record
 */
public record FoldStep(Folded state, Outcome outcome) {

  /** Returns the result of a record that takes effect. */
  static FoldStep applied(Folded state) {
    return new FoldStep(state, new Outcome.Applied());
  }

  /** Returns the result of a record that is refused. */
  static FoldStep refused(Folded state, String why) {
    return new FoldStep(state, new Outcome.Refused(why));
  }
}
