package dev.toucanstall.core.plan;

/** What became of an order to a backend server. */
public sealed interface OrderResult {

  /**
   * It was carried out, or had been before.
   *
   * @param serverClockMs the backend server's clock
   */
  record Obeyed(long serverClockMs) implements OrderResult {}

  /**
   * It was refused and has no effect.
   *
   * @param reason why
   * @param serverClockMs the backend server's clock, 0 if not told
   */
  record Rejected(Reason reason, long serverClockMs) implements OrderResult {}

  /** That life of the backend server has ended, and all that ran in it. */
  record OtherLife() implements OrderResult {}

  /** Nothing listens at the address; the order was not sent. */
  record ConnectionRefused() implements OrderResult {}

  /** No whole answer; the order may have been carried out, or may yet be. */
  record Unanswered() implements OrderResult {}

  /** Why an order is refused. */
  enum Reason {
    /** A higher fencing token was used there. */
    FENCED,
    /** The run is not higher than one that was stopped or ended there. */
    OLD,
    /** The deadline of the start has passed. */
    LATE,
    /** The task does not fit. */
    ROOM,
    /** The ticket is missing or has run out. */
    TICKET,
    /** The order is malformed. */
    MALFORMED,
    /** The backend server takes no orders at present. */
    UNHEALTHY
  }
}
