package dev.toucanstall.entry.node;

import dev.toucanstall.core.job.Catalog;
import dev.toucanstall.core.job.JobAnswer;
import dev.toucanstall.core.job.ServerEntry;
import dev.toucanstall.core.job.WaveOrder;
import dev.toucanstall.core.node.ClientCall;
import dev.toucanstall.core.node.Leader;
import dev.toucanstall.core.node.LeaderSize;
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

/** Process of an entry instance on the users' platform: creates, connects and closes its parts. */
final class NodeProcess implements AutoCloseable, NodeEffectRunner.ProcessControl {

  private static final Logger LOG = LogManager.getLogger(NodeProcess.class);

  /** Period of the control loop's ticks while this instance plans. */
  private static final Duration PLANNER_TICK = Duration.ofMillis(20);

  /** Period of the control loop's ticks while this instance does not plan. */
  private static final Duration DEFAULT_TICK = Duration.ofMillis(100);

  /** Longest wait of one read of the configuration for a change, in milliseconds. */
  private static final long CATALOG_LONG_POLL_MS = 1_000;

  private static final long LEADER_LONG_POLL_MS = 10_000;
  private static final long SERVERS_LONG_POLL_MS = 2_000;
  private static final long SERVERS_POLL_PAUSE_MS = 200;
  private static final int STORE_CONNECTIONS = 16;
  private static final int ORDER_CONNECTIONS = 4;
  private static final int SERVICE_UNAVAILABLE = 503;

  /** Divisor of the grace time that gives the time for the last answers. */
  private static final int FINAL_ANSWERS_GRACE_DIVISOR = 12;

  private final PlatformSettings settings;
  private final SteadyClock clock = new SteadyClock();
  private final AsyncHttpClient storeHttpClient = new AsyncHttpClient("store", STORE_CONNECTIONS);
  private final AsyncHttpClient orderHttpClient = new AsyncHttpClient("orders", ORDER_CONNECTIONS);
  private final StoreClient store;
  private final WaveStatusWriter waveStatusWriter;
  private final ControlLoad controlLoad;
  private final SynchronizedHistogramsByKind orderLatencies = new SynchronizedHistogramsByKind();
  private final NodeMetrics metrics;
  private final ControlLoop<Node, NodeEvent, NodeEffect> loop;
  private final JobHandler jobHandler;
  private final PlannerServer plannerServer;
  private final PlannerLink plannerLink;
  private final Server clientServer;
  private final Server readinessServer;
  private final CountDownLatch exit = new CountDownLatch(1);
  private final List<AutoCloseable> watchers = new ArrayList<>();
  private volatile @Nullable PlannerGroup group;
  private volatile boolean ready;
  private @Nullable TopicWatcher serverWatcher;

  NodeProcess(PlatformSettings settings) throws IOException {
    this.settings = settings;
    store = new StoreClient(storeHttpClient, settings.logServiceAddress());
    waveStatusWriter = new WaveStatusWriter(store);
    jobHandler = new JobHandler(this::acceptCall);
    plannerServer = new PlannerServer(settings.peerAddress(), this::post);
    plannerLink = new PlannerLink(this::post);
    NodeEffectRunner runner =
        new NodeEffectRunner(
            settings,
            clock,
            this::post,
            jobHandler,
            plannerServer,
            plannerLink,
            new JobLog(store, clock::steadyMs),
            new OrderClient(orderHttpClient),
            new MachineClient(storeHttpClient, settings.machinesAddress(), settings.instanceName()),
            waveStatusWriter,
            orderLatencies,
            this);
    controlLoad =
        new ControlLoad(
            this::backlog,
            this::cpuNanos,
            LogLine.rateLimiter()::droppedByEvent,
            line -> line.summary(LOG));
    loop =
        new ControlLoop<>(
            "control",
            new Node(settings.instanceName(), settings.size(), settings.storeLimits()),
            (node, event) -> new Decision<>(node, NodeReducer.reduce(node, event, clock.now())),
            effect -> {
              long startNanos = System.nanoTime();
              runner.accept(effect);
              controlLoad.effectDispatched(effect, startNanos, System.nanoTime());
            },
            (event, e) -> LogLine.of("decision-failed").with("event", event).error(LOG, e),
            node -> node.isPlanner() ? PLANNER_TICK : DEFAULT_TICK,
            nanos -> new NodeEvent.Tick());
    loop.setObserver(controlLoad);
    clientServer = HttpServers.newServer("clients", settings.clientAddress(), jobHandler);
    metrics =
        new NodeMetrics(
            controlLoad, LogLine.rateLimiter(), settings.size(), loop::backlog, orderLatencies);
    readinessServer =
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
                                : RouteResponse.text(SERVICE_UNAVAILABLE, "not ready\n")))));
  }

  private void acceptCall(long ticket, ClientCall call) {
    controlLoad.callLatencies().callArrived(ticket, System.nanoTime());
    post(new NodeEvent.Called(ticket, call));
  }

  private int backlog() {
    return loop.backlog();
  }

  private long cpuNanos() {
    return loop.cpuNanos();
  }

  private void post(NodeEvent event) {
    loop.post(event);
  }

  /** Starts the control loop, the watches and the HTTP servers. */
  void start() throws IOException {
    group =
        new PlannerGroup(
            store,
            settings.instanceName(),
            settings.minGroupTtlMs(),
            candidate -> post(new NodeEvent.Joined(candidate)));
    loop.start();
    watchers.add(
        new TopicWatcher(
            store,
            CatalogDecoder.TOPIC,
            CATALOG_LONG_POLL_MS,
            0,
            clock::steadyMs,
            this::readCatalog));
    watchers.add(
        new TopicWatcher(
            store, JobLog.LEADER_TOPIC, LEADER_LONG_POLL_MS, 0, clock::steadyMs, this::readLeader));
    try {
      clientServer.start();
      readinessServer.start();
    } catch (IOException e) {
      throw e;
    } catch (Exception e) {
      throw new IOException("an HTTP server did not start", e);
    }
    LogLine.of("started")
        .with("instance", settings.instanceName())
        .with("data-centre", settings.dataCentre())
        .with("clock", clock.countsSuspensions() ? "counts-suspensions" : "monotonic")
        .info(LOG);
  }

  private void readCatalog(
      long requestedMs, boolean snapshot, List<TopicWatcher.KeyedRecord> records) {
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
    post(new NodeEvent.CatalogRead(requestedMs, newest));
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

  private void readLeader(
      long requestedMs, boolean snapshot, List<TopicWatcher.KeyedRecord> records) {
    for (TopicWatcher.KeyedRecord record : records) {
      switch (record.key()) {
        case JobLog.LEADER_KEY -> readLeader(record);
        case JobLog.LEADER_SIZE_KEY -> readLeaderSize(record);
        default -> {
          // A later version may store further records here.
        }
      }
    }
    if (snapshot && records.isEmpty()) {
      post(new NodeEvent.LeaderRead(null));
    }
  }

  private void readLeader(TopicWatcher.KeyedRecord record) {
    switch (JobCodec.LEADERS.decode(record.value())) {
      case Decoded.Value<Leader> value -> post(new NodeEvent.LeaderRead(value.value()));
      case Decoded.Malformed<Leader> malformed ->
          LogLine.of("planner-record-malformed").with("why", malformed.reason()).warn(LOG);
    }
  }

  private void readLeaderSize(TopicWatcher.KeyedRecord record) {
    switch (JobCodec.LEADER_SIZES.decode(record.value())) {
      case Decoded.Value<LeaderSize> value -> post(new NodeEvent.LeaderSizeRead(value.value()));
      case Decoded.Malformed<LeaderSize> malformed ->
          LogLine.of("planner-record-malformed").with("why", malformed.reason()).warn(LOG);
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
    stopWatchingServers();
    serverWatcher =
        new TopicWatcher(
            store,
            ServerDecoder.TOPIC,
            SERVERS_LONG_POLL_MS,
            SERVERS_POLL_PAUSE_MS,
            clock::steadyMs,
            (requestedMs, snapshot, records) -> readServers(epoch, requestedMs, snapshot, records));
  }

  private void readServers(
      long epoch, long requestedMs, boolean snapshot, List<TopicWatcher.KeyedRecord> records) {
    List<ServerEntry> updated = new ArrayList<>();
    List<String> removed = new ArrayList<>();
    for (TopicWatcher.KeyedRecord record : records) {
      if (record.value().length == 0) {
        removed.add(record.key());
        updated.removeIf(entry -> entry.id().equals(record.key()));
        continue;
      }
      switch (ServerDecoder.decode(record.key(), record.value())) {
        case Decoded.Value<ServerEntry> value -> {
          removed.remove(record.key());
          updated.removeIf(entry -> entry.id().equals(record.key()));
          updated.add(value.value());
        }
        case Decoded.Malformed<ServerEntry> malformed ->
            LogLine.of("server-entry-malformed")
                .with("server", record.key())
                .with("why", malformed.reason())
                .info(LOG);
      }
    }
    post(
        new NodeEvent.ForPlan(
            epoch, new PlanEvent.ServersRead(requestedMs, updated, removed, snapshot)));
  }

  @Override
  public void stopWatchingServers() {
    TopicWatcher current = serverWatcher;
    if (current != null) {
      current.close();
      serverWatcher = null;
    }
  }

  @Override
  public void setReady(boolean isReady) {
    ready = isReady;
  }

  @Override
  public void exit() {
    exit.countDown();
  }

  /** Begins a graceful stop, which ends with {@link #exit()}. */
  void stop() {
    loop.postFirst(new NodeEvent.StopAsked(settings.stopGraceMs()));
  }

  /** Waits until a graceful stop is complete. */
  void awaitExit() throws InterruptedException {
    exit.await();
    LogLine.of("stopped").with("instance", settings.instanceName()).info(LOG);
  }

  /**
   * Waits for open calls to be answered, then answers the rest, also those in the control queue, as
   * uncertain: whether they were carried out is unknown.
   */
  private void answerRemainingCalls() throws InterruptedException {
    long waitMs = settings.stopGraceMs() / FINAL_ANSWERS_GRACE_DIVISOR / 2;
    if (jobHandler.awaitAnswered(waitMs)) {
      return;
    }
    int callCount = jobHandler.answerAll(new JobAnswer.Uncertain());
    LogLine.of("calls-given-up")
        .with("instance", settings.instanceName())
        .with("calls", callCount)
        .with("queued", loop.backlog())
        .warn(LOG);
    if (!jobHandler.awaitAnswered(waitMs)) {
      LogLine.of("calls-cut").with("instance", settings.instanceName()).warn(LOG);
    }
  }

  @Override
  public void close() throws Exception {
    HttpServers.stopAccepting(clientServer);
    answerRemainingCalls();
    clientServer.stop();
    for (AutoCloseable watch : watchers) {
      watch.close();
    }
    stopWatchingServers();
    waveStatusWriter.close();
    readinessServer.stop();
    plannerLink.close();
    plannerServer.close();
    loop.close();
    metrics.close();
    storeHttpClient.close();
    orderHttpClient.close();
  }
}
