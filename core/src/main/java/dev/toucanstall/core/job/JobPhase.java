package dev.toucanstall.core.job;

/** The phases of a job. */
public enum JobPhase {
  /** No task has started. */
  PENDING,
  /** At least one task has started. */
  RUNNING,
  /** All tasks are done. */
  COMPLETED,
  /** A task has failed as often as its queue permits. */
  FAILED,
  /** A client cancelled the job. */
  CANCELLED;

  /**
   * Returns whether the job has ended.
   *
   * @return true if none of the job's tasks will start again
   */
  public boolean ended() {
    return this != PENDING && this != RUNNING;
  }
}
