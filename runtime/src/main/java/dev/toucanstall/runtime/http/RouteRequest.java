package dev.toucanstall.runtime.http;

import java.util.Map;
import java.util.Optional;

/**
 * A request to a small HTTP service.
 *
 * @param path the path
 * @param query the query parameters
 * @param authorization the header of that name, empty if absent
 * @param body the body as text
 */
public record RouteRequest(
    String path, Map<String, String> query, String authorization, String body) {

  /**
   * Returns a numeric query parameter.
   *
   * @param name its name
   * @param absent returned if it is absent or malformed
   * @return the number
   */
  public long longParameter(String name, long absent) {
    try {
      return Optional.ofNullable(query.get(name)).map(Long::parseLong).orElse(absent);
    } catch (NumberFormatException e) {
      return absent;
    }
  }
}
