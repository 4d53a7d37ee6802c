package dev.toucanstall.runtime.http;

/**
 * Response of a {@link Route}.
 *
 * @param status the HTTP status code
 * @param mediaType value of the Content-Type header
 * @param body the body as text
 */
public record RouteResponse(int status, String mediaType, String body) {

  private static final int OK = 200;

  /**
   * Creates a response in JSON with status 200.
   *
   * @param body the JSON text
   * @return the response
   */
  public static RouteResponse json(String body) {
    return new RouteResponse(OK, "application/json", body);
  }

  /**
   * Creates a response in plain text.
   *
   * @param status the HTTP status code
   * @param body the text
   * @return the response
   */
  public static RouteResponse text(int status, String body) {
    return new RouteResponse(status, "text/plain; charset=utf-8", body);
  }
}
