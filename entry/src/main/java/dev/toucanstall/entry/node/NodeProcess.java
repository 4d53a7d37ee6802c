package dev.toucanstall.entry.node;

import dev.toucanstall.core.job.Catalog;
import dev.toucanstall.core.job.JobAnswer;
import dev.toucanstall.core.job.ServerEntry;
import dev.toucanstall.core.job.WaveOrder;
import dev.toucanstall.core.node.ClientCall;
import dev.toucanstall.core.node.Leader;
import dev.toucanstall.core.node.Node;
import dev.toucanstall.core.node.NodeEffect;
import dev.toucanstall.core.node.NodeEvent;
import dev.toucanstall.core.node.NodeReducer;
import dev.toucanstall.core.plan.PlanEvent;
import dev.toucanstall.platform.jobs.JobHandler;
import dev.toucanstall.platform.machines.MachineClient;
import dev.toucanstall.platform.machines.WaveDecoder;
import dev.toucanstall.platform.orders.OrderClient;
import dev.toucanstall.platform.settings.PlatformSettings;
import dev.toucanstall.platform.store.CatalogDecoder;
import dev.toucanstall.platform.store.JobLog;
import dev.toucanstall.platform.store.PlannerGroup;
import dev.toucanstall.platform.store.ServerDecoder;
import dev.toucanstall.platform.store.StoreClient;
import dev.toucanstall.platform.store.TopicWatcher;
import dev.toucanstall.platform.store.WaveStatusWriter;
import dev.toucanstall.runtime.http.AsyncHttpClient;
import dev.toucanstall.runtime.http.HttpServers;
import dev.toucanstall.runtime.http.Route;
import dev.toucanstall.runtime.http.RouteHandler;
import dev.toucanstall.runtime.http.RouteResponse;
import dev.toucanstall.runtime.log.LogLine;
import dev.toucanstall.runtime.loop.ControlLoop;
import dev.toucanstall.runtime.loop.Decision;
import dev.toucanstall.runtime.meter.SynchronizedHistogramsByKind;
import dev.toucanstall.wire.Decoded;
import dev.toucanstall.wire.job.JobCodec;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.eclipse.jetty.server.Server;
import org.jspecify.annotations.Nullable;

/** An entry instance on the users' platform with all its parts. */
final class NodeProcess implements AutoCloseable, NodeRunner.Parts {

  private static final Logger LOG = LogManager.getLogger(NodeProcess.class);

  /** Time between two ticks of the control loop while this instance plans. */
  private static final Duration PLANNING_TICK = Duration.ofMillis(20);

  /** Time between two ticks of the control loop otherwise. */
  private static final Duration TICK = Duration.ofMillis(100);

  /** How long a read of the configuration waits for a change, in milliseconds. */
  private static final long CATALOG_WAIT_MS = 1_000;

  private static final long LEADER_WAIT_MS = 10_000;
  private static final long SERVERS_WAIT_MS = 2_000;
  private static final long SERVERS_PAUSE_MS = 200;
  private static final int STORE_CONNECTIONS = 16;
  private static final int ORDER_CONNECTIONS = 4;
  private static final int UNAVAILABLE = 503;

  /** Part of the grace time in which the last answers are written. */
  private static final int GRACE_PARTS = 12;

  private final PlatformSettings settings;
  private final SteadyClock clock = new SteadyClock();
  private final AsyncHttpClient storeCalls = new AsyncHttpClient("store", STORE_CONNECTIONS);
  private final AsyncHttpClient orderCalls = new AsyncHttpClient("orders", ORDER_CONNECTIONS);
  private final StoreClient store;
  private final WaveStatusWriter status;
  private final ControlLoad load;
  private final SynchronizedHistogramsByKind orders = new SynchronizedHistogramsByKind();
  private final NodeMetrics metrics;
  private final ControlLoop<Node, NodeEvent, NodeEffect> loop;
  private final JobHandler handler;
  private final PlannerServer peers;
  private final PlannerLink planner;
  private final Server clients;
  private final Server readiness;
  private final CountDownLatch exit = new CountDownLatch(1);
  private final List<AutoCloseable> watches = new ArrayList<>();
  private volatile @Nullable PlannerGroup group;
  private volatile boolean ready;
  private @Nullable TopicWatcher servers;

  NodeProcess(PlatformSettings settings) throws IOException {
    this.settings = settings;
    store = new StoreClient(storeCalls, settings.logServiceAddress());
    status = new WaveStatusWriter(store);
    handler = new JobHandler(this::called);
    peers = new PlannerServer(settings.peerAddress(), this::post);
    planner = new PlannerLink(this::post, () -> ready ? settings.size().cores() : 0);
    NodeRunner runner =
        new NodeRunner(
            settings,
            clock,
            this::post,
            handler,
            peers,
            planner,
            new JobLog(store),
            new OrderClient(orderCalls),
            new MachineClient(storeCalls, settings.machinesAddress(), settings.instanceName()),
            status,
            orders,
            this);
    load =
        new ControlLoad(
            this::queued,
            this::cpuNanos,
            LogLine.rateLimiter()::droppedByEvent,
            line -> line.summary(LOG));
    loop =
        new ControlLoop<>(
            "control",
            new Node(settings.instanceName(), settings.size()),
            (node, event) -> new Decision<>(node, NodeReducer.reduce(node, event, clock.now())),
            effect -> {
              long begun = System.nanoTime();
              runner.accept(effect);
              load.carriedOut(effect, begun, System.nanoTime());
            },
            (event, e) -> LogLine.of("decision-failed").with("event", event).error(LOG, e),
            node -> node.isPlanner() ? PLANNING_TICK : TICK,
            nanos -> new NodeEvent.Tick());
    loop.setObserver(load);
    clients = HttpServers.newServer("clients", settings.clientAddress(), handler);
    metrics = new NodeMetrics(load, LogLine.rateLimiter(), settings.size(), loop::backlog, orders);
    readiness =
        HttpServers.newServer(
            "readiness",
            settings.readinessAddress(),
            settings.metricsAddress(),
            new RouteHandler(
                List.of(
                    new Route("GET", "/metrics", call -> RouteResponse.text(200, metrics.scrape())),
                    new Route(
                        "GET",
                        "/-/ready",
                        call ->
                            ready
                                ? RouteResponse.text(200, "ready\n")
                                : RouteResponse.text(UNAVAILABLE, "not ready\n")))));
  }

  private void called(long ticket, ClientCall call) {
    load.calls().began(ticket, System.nanoTime());
    post(new NodeEvent.Called(ticket, call));
  }

  private int queued() {
    return loop.backlog();
  }

  private long cpuNanos() {
    return loop.cpuNanos();
  }

  private void post(NodeEvent event) {
    loop.post(event);
  }

  /** Starts to serve. */
  void start() throws IOException {
    group =
        new PlannerGroup(
            store,
            settings.instanceName(),
            settings.minGroupTtlMs(),
            holder -> post(new NodeEvent.Joined(holder)));
    loop.start();
    watches.add(
        new TopicWatcher(
            store, CatalogDecoder.TOPIC, CATALOG_WAIT_MS, 0, clock::steadyMs, this::readCatalog));
    watches.add(
        new TopicWatcher(
            store, JobLog.LEADER_TOPIC, LEADER_WAIT_MS, 0, clock::steadyMs, this::readLeader));
    try {
      clients.start();
      readiness.start();
    } catch (IOException e) {
      throw e;
    } catch (Exception e) {
      throw new IOException("a server did not start", e);
    }
    LogLine.of("started")
        .with("instance", settings.instanceName())
        .with("data-centre", settings.dataCentre())
        .info(LOG);
  }

  private void readCatalog(long askedMs, boolean whole, List<TopicWatcher.KeyedRecord> records) {
    Catalog newest = null;
    for (TopicWatcher.KeyedRecord record : records) {
      if (record.key().startsWith(WaveDecoder.KEY_PREFIX) && record.value().length > 0) {
        readWave(record);
      }
      if (record.key().equals(CatalogDecoder.KEY) && record.value().length > 0) {
        switch (CatalogDecoder.decode(record.value())) {
          case Decoded.Value<Catalog> value -> newest = value.value();
          case Decoded.Malformed<Catalog> malformed ->
              LogLine.of("configuration-malformed").with("why", malformed.reason()).warn(LOG);
        }
      }
    }
    post(new NodeEvent.CatalogRead(askedMs, newest));
  }

  private void readWave(TopicWatcher.KeyedRecord record) {
    switch (WaveDecoder.decode(record.value())) {
      case Decoded.Value<WaveOrder> value -> post(new NodeEvent.WaveRead(value.value()));
      case Decoded.Malformed<WaveOrder> malformed ->
          LogLine.of("wave-malformed")
              .with("key", record.key())
              .with("why", malformed.reason())
              .warn(LOG);
    }
  }

  private void readLeader(long askedMs, boolean whole, List<TopicWatcher.KeyedRecord> records) {
    for (TopicWatcher.KeyedRecord record : records) {
      switch (JobCodec.LEADERS.decode(record.value())) {
        case Decoded.Value<Leader> value -> post(new NodeEvent.LeaderRead(value.value()));
        case Decoded.Malformed<Leader> malformed ->
            LogLine.of("planner-record-malformed").with("why", malformed.reason()).warn(LOG);
      }
    }
    if (whole && records.isEmpty()) {
      post(new NodeEvent.LeaderRead(null));
    }
  }

  @Override
  public PlannerGroup group() {
    PlannerGroup joined = group;
    if (joined == null) {
      throw new IllegalStateException("the process has not started");
    }
    return joined;
  }

  @Override
  public void watchServers(long epoch) {
    ignoreServers();
    servers =
        new TopicWatcher(
            store,
            ServerDecoder.TOPIC,
            SERVERS_WAIT_MS,
            SERVERS_PAUSE_MS,
            clock::steadyMs,
            (asked, whole, records) -> readServers(epoch, whole, records));
  }

  private void readServers(long epoch, boolean whole, List<TopicWatcher.KeyedRecord> records) {
    List<ServerEntry> present = new ArrayList<>();
    List<String> gone = new ArrayList<>();
    for (TopicWatcher.KeyedRecord record : records) {
      if (record.value().length == 0) {
        gone.add(record.key());
        present.removeIf(entry -> entry.id().equals(record.key()));
        continue;
      }
      switch (ServerDecoder.decode(record.key(), record.value())) {
        case Decoded.Value<ServerEntry> value -> {
          gone.remove(record.key());
          present.removeIf(entry -> entry.id().equals(record.key()));
          present.add(value.value());
        }
        case Decoded.Malformed<ServerEntry> malformed ->
            LogLine.of("server-entry-malformed")
                .with("server", record.key())
                .with("why", malformed.reason())
                .info(LOG);
      }
    }
    if (whole || !records.isEmpty()) {
      post(new NodeEvent.ForPlan(epoch, new PlanEvent.ServersRead(present, gone, whole)));
    }
  }

  @Override
  public void ignoreServers() {
    TopicWatcher old = servers;
    if (old != null) {
      old.close();
      servers = null;
    }
  }

  @Override
  public void ready(boolean now) {
    ready = now;
  }

  @Override
  public void exit() {
    exit.countDown();
  }

  /** Begins a graceful stop. */
  void stop() {
    loop.postFirst(new NodeEvent.StopAsked(settings.stopGraceMs()));
  }

  /** Waits until the process may end. */
  void awaitExit() throws InterruptedException {
    exit.await();
    LogLine.of("stopped").with("instance", settings.instanceName()).info(LOG);
  }

  /** Answers calls that wait in the control queue as well: nobody knows what became of them. */
  private void answerLast() throws InterruptedException {
    long wait = settings.stopGraceMs() / GRACE_PARTS / 2;
    if (handler.awaitAnswered(wait)) {
      return;
    }
    int calls = handler.answerAll(new JobAnswer.Uncertain());
    LogLine.of("calls-given-up")
        .with("instance", settings.instanceName())
        .with("calls", calls)
        .with("queued", loop.backlog())
        .warn(LOG);
    if (!handler.awaitAnswered(wait)) {
      LogLine.of("calls-cut").with("instance", settings.instanceName()).warn(LOG);
    }
  }

  @Override
  public void close() throws Exception {
    HttpServers.stopAccepting(clients);
    answerLast();
    clients.stop();
    for (AutoCloseable watch : watches) {
      watch.close();
    }
    ignoreServers();
    status.close();
    readiness.stop();
    planner.close();
    peers.close();
    loop.close();
    metrics.close();
    storeCalls.close();
    orderCalls.close();
  }
}
