package dev.toucanstall.runtime.http;

/**
 * One path of a small HTTP service.
 *
 * @param method the HTTP method
 * @param path the path; one that ends with a slash also stands for all paths below it
 * @param action answers requests, on a thread of its own
 */
public record Route(String method, String path, Action action) {

  /** Answers requests. */
  @FunctionalInterface
  public interface Action {

    /**
     * Answers a request.
     *
     * @param call the request
     * @return the answer
     * @throws InterruptedException if the server stops meanwhile
     */
    RouteResponse respond(RouteRequest call) throws InterruptedException;
  }

  /** Tells whether the route answers a method and path. */
  boolean matches(String otherMethod, String otherPath) {
    boolean below = path.endsWith("/") && otherPath.startsWith(path);
    return method.equals(otherMethod) && (below || path.equals(otherPath));
  }
}
