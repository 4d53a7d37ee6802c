package dev.toucanstall.entry.operator;

import dev.toucanstall.core.effect.OperatorAnswer;
import dev.toucanstall.core.event.Event;
import dev.toucanstall.core.event.OperatorRequest;
import dev.toucanstall.entry.metrics.BurnStore;
import dev.toucanstall.entry.metrics.EntryMetrics;
import dev.toucanstall.runtime.http.Route;
import dev.toucanstall.runtime.http.RouteRequest;
import dev.toucanstall.runtime.http.RouteResponse;
import dev.toucanstall.wire.Decoded;
import dev.toucanstall.wire.json.JsonCodec;
import dev.toucanstall.wire.report.BurnReport;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** The HTTP routes for operators, the load balancer and the metrics collector. Thread-safe. */
public final class OperatorRoutes {

  private static final JsonCodec<OperatorRequest> REQUESTS = JsonCodec.of(OperatorRequest.class);
  private static final JsonCodec<OperatorAnswer> ANSWERS = JsonCodec.of(OperatorAnswer.class);
  private static final JsonCodec<BurnReport> BURN_REPORTS = JsonCodec.of(BurnReport.class);
  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int UNAUTHORIZED = 401;
  private static final int UNAVAILABLE = 503;

  private final OperatorGateway gateway;
  private final Consumer<Event> events;
  private final EntryMetrics metrics;
  private final BurnStore burnStore;
  private final @Nullable String tokenDigest;

  /**
   * Creates the routes.
   *
   * @param gateway delivers the control thread's answers and the readiness
   * @param events posts events to the control thread
   * @param metrics the metrics
   * @param burnStore counts of requests for the teams' objectives
   * @param tokenDigest SHA-256 digest of the operators' token, in hexadecimal; null if no token is
   *     required
   */
  public OperatorRoutes(
      OperatorGateway gateway,
      Consumer<Event> events,
      EntryMetrics metrics,
      BurnStore burnStore,
      @Nullable String tokenDigest) {
    this.gateway = gateway;
    this.events = events;
    this.metrics = metrics;
    this.burnStore = burnStore;
    this.tokenDigest = tokenDigest;
  }

  /**
   * Returns the routes; those below {@code /operator} require the token.
   *
   * @return the routes
   */
  public List<Route> routes() {
    return List.of(
        new Route("GET", "/live", request -> RouteResponse.text(OK, "live\n")),
        new Route("GET", "/ready", request -> readiness()),
        new Route("GET", "/metrics", request -> RouteResponse.text(OK, metrics.scrape())),
        new Route("GET", "/state", request -> submit(new OperatorRequest.ShowStatus())),
        new Route("GET", "/operator/burn", request -> ifAuthorized(request, this::burnReport)),
        new Route("POST", "/operator", request -> ifAuthorized(request, this::handleRequest)));
  }

  private RouteResponse readiness() {
    return gateway.isReady()
        ? RouteResponse.text(OK, "ready\n")
        : RouteResponse.text(UNAVAILABLE, "not ready\n");
  }

  private RouteResponse ifAuthorized(RouteRequest request, Route.Action action)
      throws InterruptedException {
    return isAuthorized(request)
        ? action.respond(request)
        : RouteResponse.text(UNAUTHORIZED, "operator token is missing or wrong\n");
  }

  private boolean isAuthorized(RouteRequest request) {
    if (tokenDigest == null) {
      return true;
    }
    String token = request.authorization().replaceFirst("^Bearer ", "");
    try {
      byte[] hash =
          MessageDigest.getInstance("SHA-256").digest(token.getBytes(StandardCharsets.UTF_8));
      return MessageDigest.isEqual(hash, HexFormat.of().parseHex(tokenDigest));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 does not exist in this JDK", e);
    }
  }

  private RouteResponse burnReport(RouteRequest request) {
    return RouteResponse.json(BURN_REPORTS.encode(burnStore.report(System.nanoTime())));
  }

  private RouteResponse handleRequest(RouteRequest request) throws InterruptedException {
    return switch (REQUESTS.decode(request.body())) {
      case Decoded.Value<OperatorRequest> decoded -> submit(decoded.value());
      case Decoded.Malformed<OperatorRequest> malformed ->
          RouteResponse.text(BAD_REQUEST, "malformed request: " + malformed.reason() + "\n");
    };
  }

  private RouteResponse submit(OperatorRequest request) throws InterruptedException {
    OperatorAnswer answer = gateway.submit(request, events);
    return answer == null
        ? RouteResponse.text(
            UNAVAILABLE, "the control thread did not answer; a change may take effect\n")
        : RouteResponse.json(ANSWERS.encode(answer));
  }
}
