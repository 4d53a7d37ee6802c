package dev.toucanstall.testbed.worker;

import dev.toucanstall.core.model.Address;
import dev.toucanstall.core.model.DomainId;
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
import dev.toucanstall.testbed.worker.WorkerState.Fault;
import dev.toucanstall.wire.json.JsonCodec;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.function.LongFunction;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Server;

/**
 * Runs several stand-ins for backend servers in one process, each on a port of its own, and a
 * control port for faults, restarts and the ledger. Thread-safe.
 */
public final class WorkersServer implements AutoCloseable {

  private static final Logger LOG = LogManager.getLogger(WorkersServer.class);
  private static final JsonCodec<Observation> OBSERVATION = JsonCodec.of(Observation.class);
  private static final JsonCodec<WorkerEffect.Ledger> LEDGER =
      JsonCodec.of(WorkerEffect.Ledger.class);
  private static final Duration REPLY_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration TICK_INTERVAL = Duration.ofSeconds(1);
  private static final Duration REGISTRATION_INTERVAL = Duration.ofMillis(500);
  private static final int BAD_REQUEST = 400;
  private static final int UNAVAILABLE = 503;

  private final Layout layout;
  private final PendingQueries<WorkerEffect> requests = new PendingQueries<>();
  private final ControlLoop<WorkerState, WorkerEvent, WorkerEffect> loop;
  private final BlockingHttpClient calls = new BlockingHttpClient("register");
  private final List<Server> servers = new ArrayList<>();
  private final Thread registrationThread;

  /**
   * Addresses and sizes of the backend servers.
   *
   * @param host IP address of all servers
   * @param controlPort port of the control interface
   * @param firstPort port of the first backend server; the others follow
   * @param prefix prefix of the instances' names, before the index
   * @param count number of backend servers
   * @param slots number of requests that each backend server runs concurrently
   * @param perRack number of backend servers in a rack
   * @param datacentre name of the data centre
   * @param platformUrl URL of the platform
   * @param serviceMillis duration of a request that names none, in milliseconds
   */
  public record Layout(
      String host,
      int controlPort,
      int firstPort,
      String prefix,
      int count,
      int slots,
      int perRack,
      String datacentre,
      String platformUrl,
      long serviceMillis) {

    InstanceId id(int index) {
      return new InstanceId("%s%d".formatted(prefix, index));
    }
  }

  /**
   * Starts the servers.
   *
   * @param layout addresses and sizes of the backend servers
   * @throws IOException if an address is in use
   */
  public WorkersServer(Layout layout) throws IOException {
    this.layout = layout;
    loop =
        new ControlLoop<>(
            "workers",
            WorkerState.of(layout.count()),
            WorkerReducer::reduce,
            this::carryOut,
            (event, e) -> LogLine.of("workers-failed").error(LOG, e),
            TICK_INTERVAL,
            WorkerEvent.Tick::new);
    loop.start();
    start(layout.controlPort(), new RouteHandler(routes()));
    for (int i = 0; i < layout.count(); i++) {
      start(layout.firstPort() + i, new BackendHandler(i, this, layout.serviceMillis()));
    }
    registrationThread = Thread.ofVirtual().name("register").start(this::registerPeriodically);
  }

  private void start(int port, Handler handler) throws IOException {
    Server server =
        HttpServers.newServer("worker" + port, new Address(layout.host(), port), handler);
    servers.add(server);
    try {
      server.start();
    } catch (Exception e) {
      throw new IOException("worker did not start at port " + port, e);
    }
  }

  private List<Route> routes() {
    return List.of(
        new Route("POST", "/restart", this::restart),
        new Route("POST", "/fault", this::fault),
        new Route("GET", "/ledger", this::ledger));
  }

  /** Posts an event and waits for its effect; returns {@code Acknowledged} after a timeout. */
  WorkerEffect request(LongFunction<WorkerEvent> event) throws InterruptedException {
    WorkerEffect effect = requests.query(h -> loop.post(event.apply(h)), REPLY_TIMEOUT);
    return effect == null ? new WorkerEffect.Acknowledged(0) : effect;
  }

  /** Posts an event. */
  void post(WorkerEvent event) {
    loop.post(event);
  }

  private void carryOut(WorkerEffect effect) {
    switch (effect) {
      case WorkerEffect.Admission proceed -> requests.complete(proceed.handle(), proceed);
      case WorkerEffect.Acknowledged done -> requests.complete(done.handle(), done);
      case WorkerEffect.Ledger ledger -> requests.complete(ledger.handle(), ledger);
      case WorkerEffect.Incarnations starts -> requests.complete(starts.handle(), starts);
    }
  }

  private int index(RouteRequest call) {
    String name = call.query().getOrDefault("instance", "");
    for (int i = 0; i < layout.count(); i++) {
      if (layout.id(i).value().equals(name)) {
        return i;
      }
    }
    return -1;
  }

  private RouteResponse restart(RouteRequest call) throws InterruptedException {
    int index = index(call);
    if (index < 0) {
      return RouteResponse.text(BAD_REQUEST, "instance does not exist");
    }
    request(h -> new WorkerEvent.Restart(System.nanoTime(), h, index));
    return RouteResponse.json("{}");
  }

  private RouteResponse fault(RouteRequest call) throws InterruptedException {
    int index = index(call);
    String kind = call.query().getOrDefault("kind", "NONE");
    boolean known = Arrays.stream(Fault.values()).anyMatch(f -> f.name().equals(kind));
    if (index < 0 || !known) {
      return RouteResponse.text(BAD_REQUEST, "instance or fault does not exist");
    }
    request(h -> new WorkerEvent.SetFault(System.nanoTime(), h, index, Fault.valueOf(kind)));
    return RouteResponse.json("{}");
  }

  private RouteResponse ledger(RouteRequest call) throws InterruptedException {
    return request(h -> new WorkerEvent.ShowLedger(System.nanoTime(), h))
            instanceof WorkerEffect.Ledger ledger
        ? RouteResponse.json(LEDGER.encode(ledger))
        : RouteResponse.text(UNAVAILABLE, "no answer");
  }

  private void registerPeriodically() {
    try {
      while (true) {
        if (request(h -> new WorkerEvent.ShowIncarnations(System.nanoTime(), h))
            instanceof WorkerEffect.Incarnations starts) {
          registerAll(starts.byServer());
        }
        Thread.sleep(REGISTRATION_INTERVAL);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void registerAll(Map<Integer, Long> incarnations) throws InterruptedException {
    String controlQuery = "?control=http://%s:%d".formatted(layout.host(), layout.controlPort());
    for (Map.Entry<Integer, Long> entry : incarnations.entrySet()) {
      String body = OBSERVATION.encode(observation(entry.getKey(), entry.getValue()));
      try {
        calls.send(
            "POST", layout.platformUrl() + "/register" + controlQuery, "", body, REPLY_TIMEOUT);
      } catch (IOException e) {
        LogLine.of("register-failed").with("why", String.valueOf(e.getMessage())).info(LOG);
        return;
      }
    }
  }

  private Observation observation(int index, long incarnation) {
    return new Observation(
        layout.id(index),
        incarnation,
        new Address(layout.host(), layout.firstPort() + index),
        layout.datacentre(),
        new DomainId("%s-rack%d".formatted(layout.datacentre(), index / layout.perRack())),
        layout.slots(),
        Condition.UP);
  }

  /**
   * Blocks until the registration thread ends.
   *
   * @throws InterruptedException if the thread is interrupted
   */
  public void awaitStop() throws InterruptedException {
    registrationThread.join();
  }

  @Override
  public void close() {
    registrationThread.interrupt();
    for (Server server : servers) {
      try {
        server.stop();
      } catch (Exception e) {
        LogLine.of("stop-failed").error(LOG, e);
      }
    }
    loop.close();
    calls.close();
  }
}
