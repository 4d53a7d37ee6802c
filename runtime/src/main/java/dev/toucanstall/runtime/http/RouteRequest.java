package dev.toucanstall.runtime.http;

import java.util.Map;
import java.util.Optional;

/**
 * Request to a {@link Route}.
 *
 * @param path the path, without the query
 * @param query the query parameters by name; of repeated ones, the first
 * @param authorization value of the Authorization header, empty if absent
 * @param body the body as text, decoded as UTF-8
 */
public record RouteRequest(
    String path, Map<String, String> query, String authorization, String body) {

  /**
   * Returns a query parameter as a number.
   *
   * @param name name of the parameter
   * @param defaultValue value returned if the parameter is absent or not a whole number
   * @return the number or the default
   */
  public long longParameter(String name, long defaultValue) {
    try {
      return Optional.ofNullable(query.get(name)).map(Long::parseLong).orElse(defaultValue);
    } catch (NumberFormatException e) {
      return defaultValue;
    }
  }
}
