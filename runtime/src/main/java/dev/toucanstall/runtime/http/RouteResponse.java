package dev.toucanstall.runtime.http;

/**
 * An answer to an HTTP request.
 *
 * @param status the HTTP status
 * @param type the media type
 * @param body the body
 */
public record RouteResponse(int status, String type, String body) {

  private static final int OK = 200;

  /**
   * Makes an answer in JSON with status 200.
   *
   * @param body the JSON text
   * @return the answer
   */
  public static RouteResponse json(String body) {
    return new RouteResponse(OK, "application/json", body);
  }

  /**
   * Makes a plain answer.
   *
   * @param status the HTTP status
   * @param body the text
   * @return the answer
   */
  public static RouteResponse text(int status, String body) {
    return new RouteResponse(status, "text/plain; charset=utf-8", body);
  }
}
