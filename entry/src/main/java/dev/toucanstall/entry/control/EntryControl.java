package dev.toucanstall.entry.control;

import dev.toucanstall.core.effect.Effect;
import dev.toucanstall.core.event.Event;
import dev.toucanstall.core.model.Producer;
import dev.toucanstall.core.record.Member;
import dev.toucanstall.core.reduce.Reducer;
import dev.toucanstall.core.reduce.Transition;
import dev.toucanstall.core.state.State;
import dev.toucanstall.entry.config.EntryConfig;
import dev.toucanstall.entry.link.PeerLinks;
import dev.toucanstall.entry.metrics.BurnStore;
import dev.toucanstall.entry.metrics.EntryMetrics;
import dev.toucanstall.entry.operator.OperatorDesk;
import dev.toucanstall.entry.traffic.Exchanges;
import dev.toucanstall.runtime.http.BlockingHttpClient;
import dev.toucanstall.runtime.log.LogLine;
import dev.toucanstall.runtime.loop.ControlLoop;
import dev.toucanstall.runtime.loop.Decision;
import dev.toucanstall.runtime.platform.FleetClient;
import dev.toucanstall.runtime.platform.LogClient;
import dev.toucanstall.wire.peer.Handshake;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** The control thread of an entry instance and everything that its effects reach. Thread-safe. */
public final class EntryControl implements AutoCloseable, Consumer<Event> {

  private static final Logger LOG = LogManager.getLogger(EntryControl.class);
  private static final Duration TICK = Duration.ofMillis(50);
  private static final Duration LOG_TIMEOUT = Duration.ofSeconds(2);
  private static final int NONCE_LENGTH = 16;

  private final ControlLoop<State, Event, Effect> loop;
  private final BlockingHttpClient calls;
  private final PeerLinks links;
  private final LogReader reader;
  private final LogAppender appender;
  private final FleetPoller fleet;

  /**
   * Starts to listen to peers; {@link #start} starts the control thread.
   *
   * @param config the settings
   * @param incarnation the start of this instance
   * @param exchanges where decisions about requests go
   * @param desk where answers to operators go
   * @param metrics the metrics
   * @param burn the counts of objectives
   * @param exit ends the process with a status and a reason
   * @throws IOException if the address for peers is in use
   */
  public EntryControl(
      EntryConfig config,
      long incarnation,
      Exchanges exchanges,
      OperatorDesk desk,
      EntryMetrics metrics,
      BurnStore burn,
      BiConsumer<Integer, String> exit)
      throws IOException {
    this.calls = new BlockingHttpClient("platform");
    LogClient log = new LogClient(calls, config.logUrl(), LOG_TIMEOUT);
    this.links =
        new PeerLinks(
            new Handshake.Identity(config.id(), incarnation),
            config.peers(),
            handshake(config),
            this);
    this.reader = new LogReader(log, this);
    this.appender = new LogAppender(log, new Producer(config.id().value(), incarnation));
    this.fleet = new FleetPoller(new FleetClient(calls, config.listUrl(), LOG_TIMEOUT), this);
    EffectRunner runner =
        new EffectRunner(exchanges, links, reader, appender, fleet, desk, metrics, burn, exit);
    Member member =
        new Member(
            config.id(),
            incarnation,
            config.peers(),
            config.callers(),
            config.datacentre(),
            config.domain());
    this.loop =
        new ControlLoop<>(
            "control",
            State.initial(member, config.timing(), System.nanoTime()),
            EntryControl::decide,
            runner,
            (event, e) -> failed(metrics, event, e),
            TICK,
            Event.Tick::new);
    metrics.registerGauge("toucanstall.control.backlog", loop, ControlLoop::backlog);
    metrics.registerGauge("toucanstall.control.cpu.seconds", loop, l -> l.cpuNanos() / 1e9);
    metrics.registerGauge("toucanstall.peer.sent.bytes", links, PeerLinks::bytesSent);
    metrics.registerGauge("toucanstall.peer.sent.messages", links, PeerLinks::messagesSent);
    metrics.registerGauge("toucanstall.peer.dropped.messages", links, PeerLinks::messagesDropped);
  }

  private static Handshake handshake(EntryConfig config) {
    SecureRandom random = new SecureRandom();
    return new Handshake(
        config.peerSecret().getBytes(StandardCharsets.UTF_8),
        () -> {
          byte[] nonce = new byte[NONCE_LENGTH];
          random.nextBytes(nonce);
          return nonce;
        });
  }

  private static Decision<State, Effect> decide(State state, Event event) {
    Transition transition = Reducer.reduce(state, event);
    return new Decision<>(transition.state(), transition.effects());
  }

  private static void failed(EntryMetrics metrics, Event event, RuntimeException e) {
    metrics.countAlarm("decision-failed");
    LogLine.of("decision-failed").with("kind", event.getClass().getSimpleName()).error(LOG, e);
  }

  /** Starts the control thread and reads the log. */
  public void start() {
    loop.start();
    reader.start();
  }

  @Override
  public void accept(Event event) {
    loop.post(event);
  }

  @Override
  public void close() {
    reader.close();
    appender.close();
    fleet.close();
    links.close();
    loop.close();
    calls.close();
  }
}
