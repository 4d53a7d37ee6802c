package dev.toucanstall.core.job;

/**
 * A run of a task that a backend server lists as present. Immutable.
 *
 * @param task the task
 * @param run the run's number
 * @param checkpoint the latest checkpoint, empty if there is none
 * @param percentDone completed share of the work, in percent; 100 for a lasting task that serves
 * @param metric tail response time in milliseconds for a task that serves requests, processor usage
 *     in thousandths of a core for other tasks
 */
public record ActiveRun(TaskKey task, long run, String checkpoint, int percentDone, long metric) {}
