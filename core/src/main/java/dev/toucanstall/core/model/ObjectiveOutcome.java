package dev.toucanstall.core.model;

/** What the end of a request means for its team's objective. */
public enum ObjectiveOutcome {
  /** Started in time and succeeded. */
  GOOD,
  /** Succeeded but started late. */
  LATE,
  /** Did not succeed for a reason that lies with the system or a backend server. */
  BAD,
  /** Did not run for a reason that lies with the caller; spends no error budget. */
  CALLERS_FAULT
}
