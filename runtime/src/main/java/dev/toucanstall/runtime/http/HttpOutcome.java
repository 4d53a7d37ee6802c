package dev.toucanstall.runtime.http;

/** What became of an HTTP request, with whether it may have reached the other side. */
public sealed interface HttpOutcome {

  /**
   * A whole answer came.
   *
   * @param status the HTTP status
   * @param body the body
   */
  record Responded(int status, byte[] body) implements HttpOutcome {}

  /**
   * Nothing listens at the address; the request was not sent.
   *
   * @param reason what went wrong
   */
  record ConnectionRefused(String reason) implements HttpOutcome {}

  /**
   * There is no whole answer; the request may have been carried out.
   *
   * @param reason what went wrong
   */
  record NoResponse(String reason) implements HttpOutcome {}
}
