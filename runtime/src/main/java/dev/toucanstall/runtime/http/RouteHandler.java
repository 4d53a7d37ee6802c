package dev.toucanstall.runtime.http;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Collectors;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/** Answers HTTP requests by a list of routes. Thread-safe. */
public final class RouteHandler extends Handler.Abstract {

  private static final int MAX_BODY_BYTES = 8 << 20;
  private static final int NOT_FOUND = 404;
  private static final int TOO_LARGE = 413;
  private static final int UNAVAILABLE = 503;

  private final List<Route> routes;

  /**
   * Creates the handler.
   *
   * @param routes the routes; the first that matches answers
   */
  public RouteHandler(List<Route> routes) {
    this.routes = List.copyOf(routes);
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) throws IOException {
    String path = Objects.requireNonNullElse(Request.getPathInContext(request), "/");
    Optional<Route> route =
        routes.stream().filter(r -> r.matches(request.getMethod(), path)).findFirst();
    if (route.isEmpty()) {
      send(response, callback, RouteResponse.text(NOT_FOUND, "path does not exist\n"));
      return true;
    }
    byte[] body = read(request);
    if (body.length > MAX_BODY_BYTES) {
      send(response, callback, RouteResponse.text(TOO_LARGE, "body is too large\n"));
      return true;
    }
    String authorization =
        Objects.requireNonNullElse(request.getHeaders().get(HttpHeader.AUTHORIZATION), "");
    RouteRequest call =
        new RouteRequest(
            path, query(request), authorization, new String(body, StandardCharsets.UTF_8));
    send(response, callback, answer(route.get(), call));
    return true;
  }

  private static RouteResponse answer(Route route, RouteRequest call) {
    try {
      return route.action().respond(call);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return RouteResponse.text(UNAVAILABLE, "the server is stopping\n");
    }
  }

  private static byte[] read(Request request) throws IOException {
    try (InputStream in = Content.Source.asInputStream(request)) {
      return in.readNBytes(MAX_BODY_BYTES + 1);
    }
  }

  private static Map<String, String> query(Request request) {
    Fields fields = Request.extractQueryParameters(request);
    return fields.stream()
        .collect(
            Collectors.toMap(
                Fields.Field::getName,
                field -> Objects.requireNonNullElse(field.getValue(), ""),
                (a, b) -> a));
  }

  private static void send(Response response, Callback callback, RouteResponse answer) {
    response.setStatus(answer.status());
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, answer.type());
    Content.Sink.write(response, true, answer.body(), callback);
  }
}
