package dev.toucanstall.core.job;

/** The answer to a call of a client. */
public sealed interface JobAnswer {

  /** The job is stored durably, by this call or an earlier one with the same id. */
  record Accepted() implements JobAnswer {}

  /** The cancellation is stored durably, or the job had ended before. */
  record Cancelled() implements JobAnswer {}

  /** The queue has no job with the requested id. */
  record Absent() implements JobAnswer {}

  /**
   * The phase of a job.
   *
   * @param phase the current phase
   */
  record Shown(JobPhase phase) implements JobAnswer {}

  /**
   * The backlog of a queue.
   *
   * @param jobs number of jobs without a start time of which no task has started
   */
  record Counted(int jobs) implements JobAnswer {}

  /**
   * The call had no effect and will have none.
   *
   * @param reason the reason of the refusal
   * @param retryAfterMs delay before a retry, in milliseconds; 0 means that no delay is advised
   */
  record Refused(Reason reason, long retryAfterMs) implements JobAnswer {}

  /**
   * The job was not accepted and never runs, because its record would be larger than the store
   * takes.
   *
   * @param limitBytes largest size of a record, in bytes
   */
  record TooLarge(int limitBytes) implements JobAnswer {}

  /** The outcome is unknown: the call may have taken effect or may do so later. */
  record Uncertain() implements JobAnswer {}

  /** Reasons for refusing a call. */
  enum Reason {
    /** No queue serves the host and path of the call. */
    QUEUE_UNKNOWN,
    /** The API key is missing or unknown and the queue requires one. */
    KEY_UNKNOWN,
    /** The body of the call or the job id in its path is malformed. */
    MALFORMED,
    /** The configuration is unknown, or was last confirmed too long ago to be relied on. */
    NOT_FRESH,
    /** No planner answered in time, or the store accepts no records. */
    NO_PLANNER,
    /** Too many calls are in progress, or the jobs use up the planner's memory. */
    OVERLOADED,
    /** The entry instance is stopping; another entry instance can serve the call. */
    STOPPING
  }
}
