package dev.toucanstall.core.plan;

/** Result of an order to a backend server: a start or a stop of a run, or a lease renewal. */
public sealed interface OrderResult {

  /**
   * Order that was carried out, now or earlier.
   *
   * @param serverClockMs monotonic clock of the backend server, in milliseconds
   */
  record Obeyed(long serverClockMs) implements OrderResult {}

  /**
   * Order that was refused and has no effect.
   *
   * @param reason reason of the refusal
   * @param serverClockMs monotonic clock of the backend server, in milliseconds, 0 if not reported
   */
  record Rejected(Reason reason, long serverClockMs) implements OrderResult {}

  /**
   * Order that reached another incarnation: the addressed one has ended, and all its runs with it.
   */
  record OtherLife() implements OrderResult {}

  /** Order that was not sent, because nothing listens at the address. */
  record ConnectionRefused() implements OrderResult {}

  /** Order without a complete answer; it may have been carried out, or may yet be. */
  record Unanswered() implements OrderResult {}

  /** Reason for which an order is refused. */
  enum Reason {
    /** The backend server has already seen a higher fencing token. */
    FENCED,
    /**
     * The run's number is not higher than that of a run of the task that was stopped or has ended.
     */
    OLD,
    /** The deadline of the start has passed. */
    LATE,
    /** The backend server lacks the free capacity for the task. */
    ROOM,
    /** The backend server's ticket is missing or has expired. */
    TICKET,
    /** The order is malformed. */
    MALFORMED,
    /** The backend server takes no orders at present. */
    UNHEALTHY
  }
}
