package dev.toucanstall.core.job;

/**
 * Names one task for good. Immutable.
 *
 * @param job the job's id
 * @param occurrence which occurrence of a repeated job, 0 for the others
 * @param step the step's number in the job
 * @param index the task's number in the step
 */
public record TaskKey(String job, int occurrence, int step, int index) {}
