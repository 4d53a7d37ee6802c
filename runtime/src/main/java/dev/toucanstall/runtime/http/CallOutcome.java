package dev.toucanstall.runtime.http;

/** What became of an HTTP request, with whether it may have reached the other side. */
public sealed interface CallOutcome {

  /**
   * A whole answer came.
   *
   * @param status the HTTP status
   * @param body the body
   */
  record Answered(int status, byte[] body) implements CallOutcome {}

  /**
   * Nothing listens at the address; the request was not sent.
   *
   * @param why what went wrong
   */
  record ConnectionRefused(String why) implements CallOutcome {}

  /**
   * There is no whole answer; the request may have been carried out.
   *
   * @param why what went wrong
   */
  record Unanswered(String why) implements CallOutcome {}
}
