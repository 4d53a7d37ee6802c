package dev.toucanstall.entry.main;

import dev.toucanstall.core.event.Event;
import dev.toucanstall.entry.config.EntryConfig;
import dev.toucanstall.entry.control.EntryControl;
import dev.toucanstall.entry.metrics.BurnStore;
import dev.toucanstall.entry.metrics.EntryMetrics;
import dev.toucanstall.entry.operator.OperatorDesk;
import dev.toucanstall.entry.operator.OperatorRoutes;
import dev.toucanstall.entry.traffic.CallerHandler;
import dev.toucanstall.entry.traffic.Exchanges;
import dev.toucanstall.runtime.http.HttpServers;
import dev.toucanstall.runtime.http.RouteHandler;
import dev.toucanstall.runtime.log.LogLine;
import java.io.IOException;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Server;

/** An entry instance with all its parts. {@link #stop} and {@link #awaitExit} are thread-safe. */
public final class EntryProcess implements AutoCloseable {

  private static final Logger LOG = LogManager.getLogger(EntryProcess.class);
  private static final int CONNECTIONS_PER_BACKEND = 64;
  private static final int WAITING_PER_BACKEND = 1_024;

  private final BlockingQueue<Integer> exit = new ArrayBlockingQueue<>(1);
  private final EntryMetrics metrics = new EntryMetrics();
  private final HttpClient backends = new HttpClient();
  private final EntryControl control;
  private final Server callers;
  private final Server operators;

  /**
   * Makes the parts and listens to peers; {@link #start} starts the rest.
   *
   * @param config the settings
   * @param incarnation the start of this instance; later starts have higher numbers
   * @throws IOException if an address is in use
   */
  public EntryProcess(EntryConfig config, long incarnation) throws IOException {
    Exchanges exchanges = new Exchanges();
    OperatorDesk desk = new OperatorDesk();
    BurnStore burn = new BurnStore(config.id().value(), System.nanoTime());
    control = new EntryControl(config, incarnation, exchanges, desk, metrics, burn, this::exit);
    metrics.registerGauge("toucanstall.requests.held", exchanges, Exchanges::size);
    backends.setExecutor(HttpServers.newThreadPool("backends"));
    backends.setMaxConnectionsPerDestination(CONNECTIONS_PER_BACKEND);
    backends.setMaxRequestsQueuedPerDestination(WAITING_PER_BACKEND);
    backends.setFollowRedirects(false);
    backends.getContentDecoderFactories().clear();
    callers =
        CallerServer.make(
            config, new CallerHandler(config, incarnation, backends, exchanges, control));
    operators =
        HttpServers.newServer(
            "operators",
            config.operators(),
            new RouteHandler(
                new OperatorRoutes(desk, control, metrics, burn, config.operatorTokenDigest())
                    .routes()));
  }

  /**
   * Starts to serve.
   *
   * @throws IOException if an address is in use
   */
  public void start() throws IOException {
    try {
      backends.start();
      callers.start();
      operators.start();
    } catch (IOException e) {
      throw e;
    } catch (Exception e) {
      throw new IOException("a server did not start", e);
    }
    control.start();
  }

  /** Begins a graceful stop. */
  public void stop() {
    control.accept(new Event.StopRequested(System.nanoTime()));
  }

  private void exit(int status, String why) {
    LogLine.of("exit").with("status", status).with("why", why).info(LOG);
    exit.offer(status);
  }

  /**
   * Waits until the instance has left.
   *
   * @return the exit status
   * @throws InterruptedException if the thread is interrupted meanwhile
   */
  public int awaitExit() throws InterruptedException {
    return exit.take();
  }

  @Override
  public void close() {
    try {
      callers.stop();
      operators.stop();
      backends.stop();
    } catch (Exception e) {
      LogLine.of("stop-failed").error(LOG, e);
    }
    control.close();
    metrics.close();
  }
}
