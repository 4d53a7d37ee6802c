package dev.toucanstall.core.plan;

/** Whether a call to the store has taken effect. */
public enum StoreResult {
  /** It has. */
  DONE,
  /** It has not and will not. */
  NOT_DONE,
  /** It may have, or may yet. */
  MAYBE,
  /** It has not: another planner has taken over. */
  FENCED
}
