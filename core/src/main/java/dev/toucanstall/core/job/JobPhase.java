package dev.toucanstall.core.job;

/** How far a job is. */
public enum JobPhase {
  /** No task has started. */
  PENDING,
  /** Some task has started. */
  RUNNING,
  /** All tasks have ended well. */
  COMPLETED,
  /** A task has failed too often. */
  FAILED,
  /** The client account cancelled it. */
  CANCELLED;

  /**
   * Tells whether the job has ended.
   *
   * @return true if nothing of it will start again
   */
  public boolean ended() {
    return this != PENDING && this != RUNNING;
  }
}
