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

/** The paths for operators, the balancer and the metrics collector. Thread-safe. */
public final class OperatorRoutes {

  private static final JsonCodec<OperatorRequest> REQUESTS = JsonCodec.of(OperatorRequest.class);
  private static final JsonCodec<OperatorAnswer> ANSWERS = JsonCodec.of(OperatorAnswer.class);
  private static final JsonCodec<BurnReport> BURN = JsonCodec.of(BurnReport.class);
  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int UNAUTHORIZED = 401;
  private static final int UNAVAILABLE = 503;

  private final OperatorDesk desk;
  private final Consumer<Event> events;
  private final EntryMetrics metrics;
  private final BurnStore burn;
  private final @Nullable String tokenDigest;

  /**
   * Creates the paths.
   *
   * @param desk where answers arrive
   * @param events takes events to the control thread
   * @param metrics the metrics
   * @param burn the counts of objectives
   * @param tokenDigest the SHA-256 digest of the operators' token, null if none is asked for
   */
  public OperatorRoutes(
      OperatorDesk desk,
      Consumer<Event> events,
      EntryMetrics metrics,
      BurnStore burn,
      @Nullable String tokenDigest) {
    this.desk = desk;
    this.events = events;
    this.metrics = metrics;
    this.burn = burn;
    this.tokenDigest = tokenDigest;
  }

  /**
   * Returns the paths.
   *
   * @return the routes
   */
  public List<Route> routes() {
    return List.of(
        new Route("GET", "/live", call -> RouteResponse.text(OK, "live\n")),
        new Route("GET", "/ready", call -> ready()),
        new Route("GET", "/metrics", call -> RouteResponse.text(OK, metrics.scrape())),
        new Route("GET", "/state", call -> ask(new OperatorRequest.ShowStatus())),
        new Route("GET", "/operator/burn", call -> guarded(call, this::burn)),
        new Route("POST", "/operator", call -> guarded(call, this::operate)));
  }

  private RouteResponse ready() {
    return desk.isReady()
        ? RouteResponse.text(OK, "ready\n")
        : RouteResponse.text(UNAVAILABLE, "not ready\n");
  }

  private RouteResponse guarded(RouteRequest call, Route.Action action)
      throws InterruptedException {
    return isAllowed(call)
        ? action.respond(call)
        : RouteResponse.text(UNAUTHORIZED, "operator token is missing or wrong\n");
  }

  private boolean isAllowed(RouteRequest call) {
    if (tokenDigest == null) {
      return true;
    }
    String token = call.authorization().replaceFirst("^Bearer ", "");
    try {
      byte[] hash =
          MessageDigest.getInstance("SHA-256").digest(token.getBytes(StandardCharsets.UTF_8));
      return MessageDigest.isEqual(hash, HexFormat.of().parseHex(tokenDigest));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 does not exist in this JDK", e);
    }
  }

  private RouteResponse burn(RouteRequest call) {
    return RouteResponse.json(BURN.encode(burn.report(System.nanoTime())));
  }

  private RouteResponse operate(RouteRequest call) throws InterruptedException {
    return switch (REQUESTS.decode(call.body())) {
      case Decoded.Value<OperatorRequest> request -> ask(request.value());
      case Decoded.Malformed<OperatorRequest> malformed ->
          RouteResponse.text(BAD_REQUEST, "malformed request: " + malformed.reason() + "\n");
    };
  }

  private RouteResponse ask(OperatorRequest request) throws InterruptedException {
    OperatorAnswer answer = desk.ask(request, events);
    return answer == null
        ? RouteResponse.text(
            UNAVAILABLE, "the control thread did not answer; a change may take effect\n")
        : RouteResponse.json(ANSWERS.encode(answer));
  }
}
