package dev.toucanstall.core.job;

/** The phases of a task. */
public enum TaskPhase {
  /** The task waits for its due time, for preceding steps or for free capacity. */
  WAITING,
  /** The planner has decided on a start, whose order may have reached the backend server. */
  ORDERED,
  /** The backend server has confirmed the start. */
  RUNNING,
  /** The planner has decided to stop the run, which may still exist. */
  STOPPING,
  /** The work of the task is done. */
  DONE,
  /** The task is not done and will not start again. */
  DROPPED;

  /**
   * Returns whether the task is bound to a backend server.
   *
   * @return true if a run of the task may exist on the backend server
   */
  public boolean bound() {
    return this == ORDERED || this == RUNNING || this == STOPPING;
  }
}
