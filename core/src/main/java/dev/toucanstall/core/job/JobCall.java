package dev.toucanstall.core.job;

/** A request of a client to the planner, after its API key and queue have been checked. */
public sealed interface JobCall {

  /**
   * Returns the name of the queue that the request belongs to.
   *
   * @return the queue's name
   */
  String queue();

  /**
   * Submits a job. Idempotent: a job with a known id is accepted again without a second effect.
   *
   * @param job the job's id
   * @param queue the queue's name
   * @param account name of the client account, empty for an anonymous client
   * @param spec the specification of the job
   */
  record Submit(String job, String queue, String account, JobSpec spec) implements JobCall {}

  /**
   * Queries the phase of a job.
   *
   * @param job the job's id
   * @param queue the queue's name
   */
  record Show(String job, String queue) implements JobCall {}

  /**
   * Cancels a job. Idempotent: has no effect on a job that has ended.
   *
   * @param job the job's id
   * @param queue the queue's name
   */
  record Cancel(String job, String queue) implements JobCall {}

  /**
   * Queries the number of jobs of a queue of which no task has started.
   *
   * @param queue the queue's name
   */
  record Count(String queue) implements JobCall {}
}
