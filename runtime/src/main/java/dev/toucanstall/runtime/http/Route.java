package dev.toucanstall.runtime.http;

/**
 * One path of an HTTP service.
 *
 * @param method the HTTP method
 * @param path the path; one that ends with a slash also matches all paths below it
 * @param action handles the requests, each on its own virtual thread
 */
public record Route(String method, String path, Action action) {

  /** Handles the requests of a route; may block. */
  @FunctionalInterface
  public interface Action {

    /**
     * Handles a request.
     *
     * @param request the request
     * @return the response
     * @throws InterruptedException if the server stops meanwhile
     */
    RouteResponse respond(RouteRequest request) throws InterruptedException;
  }

  boolean matches(String requestMethod, String requestPath) {
    boolean prefixMatches = path.endsWith("/") && requestPath.startsWith(path);
    return method.equals(requestMethod) && (prefixMatches || path.equals(requestPath));
  }
}
