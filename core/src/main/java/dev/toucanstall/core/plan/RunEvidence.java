package dev.toucanstall.core.plan;

/**
 * Evidence that a run has ended or was never started, on which a planner releases its task.
 *
 * @param kind kind of observation
 * @param atMs time that the observation reflects at the earliest, in milliseconds of the monotonic
 *     clock: the sending of the call whose answer shows it, or the expiry of the leases
 */
record RunEvidence(Kind kind, long atMs) {

  /** Kind of observation. */
  enum Kind {
    /** The backend server lists the run as finished. */
    END_LISTED,
    /** A list that was requested after the last order for the run was answered lacks it. */
    ABSENT_FROM_LIST,
    /** All leases that any planner has given to the backend server have expired. */
    LEASES_EXPIRED,
    /** Another backend server answers at the address. */
    OTHER_SERVER_ANSWERS,
    /** The platform has begun to move the machine to another pool. */
    MACHINE_MOVED,
    /** The platform has begun the maintenance of the machine. */
    MACHINE_MAINTAINED,
    /** Each order to start the run has failed or was refused without effect. */
    NOT_STARTED
  }
}
