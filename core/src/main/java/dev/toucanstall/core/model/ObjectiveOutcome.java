package dev.toucanstall.core.model;

/** Outcome of a request towards the objective of its team. Constants are metric labels. */
public enum ObjectiveOutcome {
  /** The request started in time and succeeded. */
  GOOD,
  /** The request succeeded but started late. */
  LATE,
  /** The request failed for a reason that lies with the system or a backend server. */
  BAD,
  /** The request did not run for a reason that lies with the caller; uses no error budget. */
  CALLERS_FAULT
}
