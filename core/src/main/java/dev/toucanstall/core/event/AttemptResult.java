package dev.toucanstall.core.event;

import dev.toucanstall.core.model.RefusalCode;
import dev.toucanstall.core.model.Verdict;

/** Result of an attempt to run a request on a backend server. */
public sealed interface AttemptResult {

  /**
   * The answer of the backend server was passed to the caller.
   *
   * @param status HTTP status of the answer
   * @param complete false if the answer broke off, so that the caller's connection was closed
   */
  record Answered(int status, boolean complete) implements AttemptResult {}

  /**
   * The backend server answered with an error status; nothing was passed to the caller yet.
   *
   * @param status HTTP status of the answer
   */
  record ErrorAnswer(int status) implements AttemptResult {}

  /**
   * The attempt failed; nothing was passed to the caller.
   *
   * @param code code of the refusal if the request is not retried
   * @param verdict whether the attempt may have run the request
   * @param detail cause of the failure, one sentence
   */
  record Failed(RefusalCode code, Verdict verdict, String detail) implements AttemptResult {}

  /**
   * The backend server ended the request after the caller's deadline. At the deadline the caller
   * was answered that the request may have run.
   */
  record EndedLate() implements AttemptResult {}

  /** The time until which the attempt may start had passed before the first byte was sent. */
  record StartExpired() implements AttemptResult {}
}
