package dev.toucanstall.core.job;

/**
 * A run that a backend server lists as present. Immutable.
 *
 * @param task the task
 * @param run the run's number
 * @param saved the newest checkpoint, empty if none
 * @param percent the share of its work that is done, or 100 for a lasting task at work
 * @param figure the tail of response times in milliseconds for a task that serves, else thousandths
 *     of a core in use
 */
public record RunningTask(TaskKey task, long run, String saved, int percent, long figure) {}
