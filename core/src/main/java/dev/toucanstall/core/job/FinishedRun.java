package dev.toucanstall.core.job;

/**
 * The end of a run that a backend server lists. Immutable.
 *
 * @param number the end's number in this life of the backend server
 * @param task the task
 * @param run the run's number
 * @param how how it ended
 * @param saved the newest checkpoint, empty if none
 */
public record FinishedRun(long number, TaskKey task, long run, Outcome how, String saved) {

  /** How a run ended. */
  public enum Outcome {
    /** Its work is done. */
    DONE,
    /** It failed. */
    FAILED,
    /** It was stopped by an order. */
    STOPPED,
    /** Its lease ran out. */
    LAPSED,
    /** Another member of its gang ended. */
    BROKEN,
    /** It waited in vain for the other members of its gang. */
    ALONE
  }
}
