package dev.toucanstall.core.job;

/** How far a task is. */
public enum TaskPhase {
  /** Waits for its steps or for room. */
  WAITING,
  /** A start is stored and may have reached the backend server. */
  ORDERED,
  /** The backend server has confirmed the start. */
  RUNNING,
  /** A stop is ordered; the run may still be there. */
  STOPPING,
  /** Its work is done. */
  DONE,
  /** It will not start again. */
  DROPPED;

  /**
   * Tells whether a run may exist on a backend server.
   *
   * @return true if so
   */
  public boolean bound() {
    return this == ORDERED || this == RUNNING || this == STOPPING;
  }
}
