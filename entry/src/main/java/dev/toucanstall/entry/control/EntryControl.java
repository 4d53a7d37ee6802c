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
import dev.toucanstall.entry.operator.OperatorGateway;
import dev.toucanstall.entry.traffic.DecisionQueues;
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

/**
 * Owns the control thread of an entry instance and the components on which its effects act.
 * Thread-safe.
 */
public final class EntryControl implements AutoCloseable, Consumer<Event> {

  private static final Logger LOG = LogManager.getLogger(EntryControl.class);
  private static final Duration TICK_INTERVAL = Duration.ofMillis(50);
  private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(2);
  private static final int NONCE_BYTES = 16;

  private final ControlLoop<State, Event, Effect> loop;
  private final BlockingHttpClient platformClient;
  private final PeerLinks peerLinks;
  private final LogReader logReader;
  private final LogAppender logAppender;
  private final FleetPoller fleetPoller;

  /**
   * Starts to listen for peers and to poll the instance list; {@link #start} starts the rest.
   *
   * @param config the settings
   * @param incarnation number of this start of the instance, higher than those of earlier starts
   * @param decisionQueues receives the decisions about callers' requests
   * @param gateway receives the answers to operators and the readiness
   * @param metrics the metrics
   * @param burnStore counts of requests for the teams' objectives
   * @param exitHandler ends the process, given the exit status and a reason for the log
   * @throws IOException if the address for peers cannot be bound
   */
  public EntryControl(
      EntryConfig config,
      long incarnation,
      DecisionQueues decisionQueues,
      OperatorGateway gateway,
      EntryMetrics metrics,
      BurnStore burnStore,
      BiConsumer<Integer, String> exitHandler)
      throws IOException {
    this.platformClient = new BlockingHttpClient("platform");
    LogClient logClient = new LogClient(platformClient, config.logUrl(), PLATFORM_TIMEOUT);
    this.peerLinks =
        new PeerLinks(
            new Handshake.Identity(config.id(), incarnation),
            config.peerAddress(),
            handshake(config),
            this);
    this.logReader = new LogReader(logClient, this);
    this.logAppender = new LogAppender(logClient, new Producer(config.id().value(), incarnation));
    this.fleetPoller =
        new FleetPoller(new FleetClient(platformClient, config.listUrl(), PLATFORM_TIMEOUT), this);
    EffectInterpreter interpreter =
        new EffectInterpreter(
            decisionQueues,
            peerLinks,
            logReader,
            logAppender,
            fleetPoller,
            gateway,
            metrics,
            burnStore,
            exitHandler);
    Member member =
        new Member(
            config.id(),
            incarnation,
            config.peerAddress(),
            config.callerAddress(),
            config.datacentre(),
            config.domain());
    this.loop =
        new ControlLoop<>(
            "control",
            State.initial(member, config.timing(), System.nanoTime()),
            EntryControl::decide,
            interpreter,
            (event, e) -> reportFailure(metrics, event, e),
            TICK_INTERVAL,
            Event.Tick::new);
    metrics.registerGauge("toucanstall.control.backlog", loop, ControlLoop::backlog);
    metrics.registerGauge(
        "toucanstall.control.cpu.seconds", loop, control -> control.cpuNanos() / 1e9);
    metrics.registerGauge("toucanstall.peer.sent.bytes", peerLinks, PeerLinks::bytesSent);
    metrics.registerGauge("toucanstall.peer.sent.messages", peerLinks, PeerLinks::messagesSent);
    metrics.registerGauge(
        "toucanstall.peer.dropped.messages", peerLinks, PeerLinks::messagesDropped);
  }

  private static Handshake handshake(EntryConfig config) {
    SecureRandom random = new SecureRandom();
    return new Handshake(
        config.peerSecret().getBytes(StandardCharsets.UTF_8),
        () -> {
          byte[] nonce = new byte[NONCE_BYTES];
          random.nextBytes(nonce);
          return nonce;
        });
  }

  private static Decision<State, Effect> decide(State state, Event event) {
    Transition transition = Reducer.reduce(state, event);
    return new Decision<>(transition.state(), transition.effects());
  }

  private static void reportFailure(EntryMetrics metrics, Event event, RuntimeException e) {
    metrics.countAlarm("decision-failed");
    LogLine.of("decision-failed").with("kind", event.getClass().getSimpleName()).error(LOG, e);
  }

  /** Starts the control thread and the reading of the log. */
  public void start() {
    loop.start();
    logReader.start();
  }

  @Override
  public void accept(Event event) {
    loop.post(event);
  }

  @Override
  public void close() {
    logReader.close();
    logAppender.close();
    fleetPoller.close();
    peerLinks.close();
    loop.close();
    platformClient.close();
  }
}
