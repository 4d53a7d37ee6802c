package dev.toucanstall.core.job;

/**
 * The unique identifier of a task. Immutable.
 *
 * @param job the job's id
 * @param occurrence number of the job's occurrence, from 0; always 0 for a job that does not repeat
 * @param step number of the step in the job, from 0
 * @param index number of the task in the step, from 0
 */
public record TaskKey(String job, int occurrence, int step, int index) {}
