package dev.toucanstall.core.job;

/** What a client account asks of the planner, after its key and queue have been checked. */
public sealed interface JobCall {

  /**
   * Returns the queue's name.
   *
   * @return the name
   */
  String queue();

  /**
   * Hands a job in. Idempotent by the job's id.
   *
   * @param job the id
   * @param queue the queue's name
   * @param account the client account, empty on an open queue
   * @param spec the job
   */
  record Submit(String job, String queue, String account, JobSpec spec) implements JobCall {}

  /**
   * Asks how far a job is.
   *
   * @param job the id
   * @param queue the queue's name
   */
  record Show(String job, String queue) implements JobCall {}

  /**
   * Cancels a job. Idempotent.
   *
   * @param job the id
   * @param queue the queue's name
   */
  record Cancel(String job, String queue) implements JobCall {}

  /**
   * Asks how many jobs of a queue have not begun.
   *
   * @param queue the queue's name
   */
  record Count(String queue) implements JobCall {}
}
