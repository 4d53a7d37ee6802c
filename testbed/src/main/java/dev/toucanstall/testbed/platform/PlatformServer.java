package dev.toucanstall.testbed.platform;

import dev.toucanstall.core.model.Address;
import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.record.Condition;
import dev.toucanstall.core.record.Observation;
import dev.toucanstall.runtime.http.BlockingHttpClient;
import dev.toucanstall.runtime.http.HttpServers;
import dev.toucanstall.runtime.http.Route;
import dev.toucanstall.runtime.http.RouteHandler;
import dev.toucanstall.runtime.http.RouteRequest;
import dev.toucanstall.runtime.http.RouteResponse;
import dev.toucanstall.runtime.log.LogLine;
import dev.toucanstall.runtime.loop.ControlLoop;
import dev.toucanstall.runtime.loop.PendingQueries;
import dev.toucanstall.wire.Decoded;
import dev.toucanstall.wire.json.JsonCodec;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.function.LongFunction;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.eclipse.jetty.server.Server;

/** HTTP server of the stand-in for the platform. Thread-safe. */
public final class PlatformServer implements AutoCloseable {

  private static final Logger LOG = LogManager.getLogger(PlatformServer.class);
  private static final JsonCodec<Observation> OBSERVATION = JsonCodec.of(Observation.class);
  private static final Duration REPLY_TIMEOUT = Duration.ofSeconds(20);
  private static final Duration TICK_INTERVAL = Duration.ofMillis(20);
  private static final int BAD_REQUEST = 400;
  private static final int UNAVAILABLE = 503;
  private static final int MAX_RECORDS = 1_000;

  private final PendingQueries<PlatformEffect.Reply> requests = new PendingQueries<>();
  private final BlockingHttpClient calls = new BlockingHttpClient("restarts");
  private final ControlLoop<PlatformState, PlatformEvent, PlatformEffect> loop;
  private final Server server;

  /**
   * Starts the server.
   *
   * @param address address to listen at
   * @param retention maximum number of records that the log retains
   * @param listLag time between two updates of the instance list
   * @throws IOException if the address is in use
   */
  public PlatformServer(Address address, int retention, Duration listLag) throws IOException {
    loop =
        new ControlLoop<>(
            "platform",
            PlatformState.empty(retention),
            new PlatformReducer(listLag)::reduce,
            this::carryOut,
            (event, e) -> LogLine.of("platform-failed").error(LOG, e),
            TICK_INTERVAL,
            PlatformEvent.Tick::new);
    server = HttpServers.newServer("platform", address, new RouteHandler(routes()));
    loop.start();
    try {
      server.start();
    } catch (Exception e) {
      throw new IOException("platform did not start at " + address, e);
    }
  }

  private List<Route> routes() {
    return List.of(
        new Route("POST", "/append", this::append),
        new Route("GET", "/read", this::read),
        new Route("GET", "/instances", call -> request(h -> new PlatformEvent.ShowList(now(), h))),
        new Route("POST", "/register", this::register),
        new Route("POST", "/announce", this::announce),
        new Route("POST", "/instances/", this::restart),
        new Route("POST", "/fault", this::fault));
  }

  private RouteResponse request(LongFunction<PlatformEvent> event) throws InterruptedException {
    PlatformEffect.Reply reply = requests.query(h -> loop.post(event.apply(h)), REPLY_TIMEOUT);
    if (reply == null) {
      return RouteResponse.text(UNAVAILABLE, "no answer");
    }
    if (reply.delayMillis() > 0) {
      Thread.sleep(reply.delayMillis());
    }
    return new RouteResponse(reply.status(), "application/json", reply.body());
  }

  private RouteResponse append(RouteRequest call) throws InterruptedException {
    return request(h -> new PlatformEvent.Append(now(), h, call.body()));
  }

  private RouteResponse read(RouteRequest call) throws InterruptedException {
    long wait = Duration.ofMillis(call.longParameter("wait", 0)).toNanos();
    int max = Math.clamp(call.longParameter("max", MAX_RECORDS), 1, MAX_RECORDS);
    return request(
        h ->
            new PlatformEvent.Read(
                now(), h, Math.max(0, call.longParameter("from", 0)), max, wait));
  }

  private RouteResponse register(RouteRequest call) throws InterruptedException {
    String controlUrl = call.query().getOrDefault("control", "");
    return switch (OBSERVATION.decode(call.body())) {
      case Decoded.Value<Observation> value ->
          request(h -> new PlatformEvent.Register(now(), h, value.value(), controlUrl));
      case Decoded.Malformed<Observation> malformed ->
          RouteResponse.text(BAD_REQUEST, malformed.reason());
    };
  }

  private RouteResponse announce(RouteRequest call) throws InterruptedException {
    String condition = call.query().getOrDefault("condition", "");
    if (!PlatformReducer.isCondition(condition)) {
      return RouteResponse.text(BAD_REQUEST, "condition is not UP, LEAVING or DOWN");
    }
    InstanceId instance = new InstanceId(call.query().getOrDefault("instance", "none"));
    return request(
        h -> new PlatformEvent.AnnounceCondition(now(), h, instance, Condition.valueOf(condition)));
  }

  private RouteResponse restart(RouteRequest call) throws InterruptedException {
    String[] parts = call.path().split("/", -1);
    InstanceId instance = new InstanceId(parts[2]);
    return request(
        h -> new PlatformEvent.Restart(now(), h, instance, call.longParameter("incarnation", 0)));
  }

  private RouteResponse fault(RouteRequest call) throws InterruptedException {
    long nanos = Duration.ofMillis(call.longParameter("ms", 0)).toNanos();
    String kind = call.query().getOrDefault("kind", "");
    return request(h -> new PlatformEvent.Fault(now(), h, kind, nanos));
  }

  private void carryOut(PlatformEffect effect) {
    switch (effect) {
      case PlatformEffect.Reply reply -> requests.complete(reply.handle(), reply);
      case PlatformEffect.RestartInstance restart ->
          Thread.ofVirtual().start(() -> sendRestart(restart));
    }
  }

  private void sendRestart(PlatformEffect.RestartInstance restart) {
    try {
      calls.send(
          "POST",
          restart.controlUrl() + "/restart?instance=" + restart.instance(),
          Duration.ofSeconds(2));
    } catch (IOException e) {
      LogLine.of("restart-failed").with("instance", restart.instance()).warn(LOG);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static long now() {
    return System.nanoTime();
  }

  /**
   * Blocks until the server stops.
   *
   * @throws InterruptedException if the thread is interrupted
   */
  public void awaitStop() throws InterruptedException {
    server.join();
  }

  @Override
  public void close() {
    try {
      server.stop();
    } catch (Exception e) {
      LogLine.of("stop-failed").error(LOG, e);
    }
    loop.close();
    calls.close();
  }
}
