package dev.toucanstall.core.job;

/**
 * A finished run of a task that a backend server lists. Immutable.
 *
 * @param number sequence number of the completion in the backend server's incarnation
 * @param task the task
 * @param run the run's number
 * @param how the outcome of the run; encoded under this name
 * @param saved the latest checkpoint, empty if there is none; encoded under this name
 */
public record FinishedRun(long number, TaskKey task, long run, Outcome how, String saved) {

  /** The outcomes of a run. */
  public enum Outcome {
    /** The work of the task is done. */
    DONE,
    /** The run failed. */
    FAILED,
    /** An order of the planner stopped the run. */
    STOPPED,
    /** The lease of the run expired. */
    LAPSED,
    /** The run was ended because another member of its gang ended. */
    BROKEN,
    /** The other members of the gang did not start in time. */
    ALONE
  }
}
