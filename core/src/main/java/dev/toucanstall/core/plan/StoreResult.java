package dev.toucanstall.core.plan;

/** Result of a call to the store. */
public enum StoreResult {
  /** The call has taken effect. */
  DONE,
  /** The call has not taken effect and will not. */
  NOT_DONE,
  /** The call may have taken effect, or may yet. */
  MAYBE,
  /** The call has not taken effect, because another planner has taken over. */
  FENCED,
  /** The call has not taken effect and never can: its records are larger than the store takes. */
  TOO_LARGE
}
