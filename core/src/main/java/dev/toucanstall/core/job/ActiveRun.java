package dev.toucanstall.core.job;

/**
 * A run that a backend server lists as present. Immutable.
 *
 * @param task the task
 * @param run the run's number
 * @param checkpoint the newest checkpoint, empty if none
 * @param percentDone the share of its work that is done, or 100 for a lasting task at work
 * @param metric the tail of response times in milliseconds for a task that serves, else thousandths
 *     of a core in use
 */
public record ActiveRun(TaskKey task, long run, String checkpoint, int percentDone, long metric) {}
