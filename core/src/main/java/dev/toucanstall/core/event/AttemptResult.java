package dev.toucanstall.core.event;

import dev.toucanstall.core.model.RefusalCode;
import dev.toucanstall.core.model.Verdict;

/** How an attempt to run a request on a backend server ended. */
public sealed interface AttemptResult {

  /**
   * The backend server's answer went to the caller.
   *
   * @param status its HTTP status
   * @param complete false if the caller's connection had to be broken
   */
  record Answered(int status, boolean complete) implements AttemptResult {}

  /**
   * The backend server answered with an error status; nothing went to the caller yet.
   *
   * @param status its HTTP status
   */
  record ErrorAnswer(int status) implements AttemptResult {}

  /**
   * No answer went to the caller.
   *
   * @param code what failed
   * @param verdict whether the attempt may have run the request
   * @param detail one sentence
   */
  record Failed(RefusalCode code, Verdict verdict, String detail) implements AttemptResult {}

  /**
   * The backend server ended the request after its caller's deadline; the caller was told at the
   * deadline that it may have run.
   */
  record EndedLate() implements AttemptResult {}

  /** The permission to start had expired before the first byte was sent. */
  record StartExpired() implements AttemptResult {}
}
