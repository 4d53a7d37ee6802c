package dev.toucanstall.runtime.http;

/** Outcome of an HTTP request, which tells whether the request may have been carried out. */
public sealed interface HttpOutcome {

  /**
   * A complete response was received.
   *
   * @param status the HTTP status code
   * @param body the body, empty if there was none
   */
  record Responded(int status, byte[] body) implements HttpOutcome {}

  /**
   * The connection was refused; the request was not sent.
   *
   * @param reason description of the error
   */
  record ConnectionRefused(String reason) implements HttpOutcome {}

  /**
   * No complete response was received; the request may have been carried out.
   *
   * @param reason description of the error
   */
  record NoResponse(String reason) implements HttpOutcome {}
}
