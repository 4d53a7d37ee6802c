package dev.toucanstall.entry.main;

import dev.toucanstall.core.event.Event;
import dev.toucanstall.entry.config.EntryConfig;
import dev.toucanstall.entry.control.EntryControl;
import dev.toucanstall.entry.metrics.BurnStore;
import dev.toucanstall.entry.metrics.EntryMetrics;
import dev.toucanstall.entry.operator.OperatorGateway;
import dev.toucanstall.entry.operator.OperatorRoutes;
import dev.toucanstall.entry.traffic.CallerHandler;
import dev.toucanstall.entry.traffic.DecisionQueues;
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

/**
 * An entry instance with all its components. {@link #stop} and {@link #awaitExit} are thread-safe.
 */
public final class EntryProcess implements AutoCloseable {

  private static final Logger LOG = LogManager.getLogger(EntryProcess.class);
  private static final int MAX_CONNECTIONS_PER_BACKEND = 64;
  private static final int MAX_QUEUED_PER_BACKEND = 1_024;

  /** Exit status of the process; empty until the instance has decided to exit. */
  private final BlockingQueue<Integer> exitStatus = new ArrayBlockingQueue<>(1);

  private final EntryMetrics metrics = new EntryMetrics();
  private final HttpClient backendClient = new HttpClient();
  private final EntryControl control;
  private final Server callerServer;
  private final Server operatorServer;

  /**
   * Creates the components and listens for peers; {@link #start} starts the rest.
   *
   * @param config the settings
   * @param incarnation number of this start of the instance, higher than those of earlier starts
   * @throws IOException if the address for peers cannot be bound
   */
  public EntryProcess(EntryConfig config, long incarnation) throws IOException {
    DecisionQueues decisionQueues = new DecisionQueues();
    OperatorGateway gateway = new OperatorGateway();
    BurnStore burnStore = new BurnStore(config.id().value(), System.nanoTime());
    control =
        new EntryControl(
            config, incarnation, decisionQueues, gateway, metrics, burnStore, this::exit);
    metrics.registerGauge("toucanstall.requests.held", decisionQueues, DecisionQueues::size);
    backendClient.setExecutor(HttpServers.newThreadPool("backends"));
    backendClient.setMaxConnectionsPerDestination(MAX_CONNECTIONS_PER_BACKEND);
    backendClient.setMaxRequestsQueuedPerDestination(MAX_QUEUED_PER_BACKEND);
    backendClient.setFollowRedirects(false);
    backendClient.getContentDecoderFactories().clear();
    callerServer =
        CallerServer.create(
            config, new CallerHandler(config, incarnation, backendClient, decisionQueues, control));
    operatorServer =
        HttpServers.newServer(
            "operators",
            config.operatorAddress(),
            new RouteHandler(
                new OperatorRoutes(
                        gateway, control, metrics, burnStore, config.operatorTokenDigest())
                    .routes()));
  }

  /**
   * Starts the HTTP servers and the control thread.
   *
   * @throws IOException if an HTTP server cannot start, for example because its address is in use
   */
  public void start() throws IOException {
    try {
      backendClient.start();
      callerServer.start();
      operatorServer.start();
    } catch (IOException e) {
      throw e;
    } catch (Exception e) {
      throw new IOException("an HTTP server or the HTTP client failed to start", e);
    }
    control.start();
  }

  /** Requests a graceful stop and returns at once. */
  public void stop() {
    control.accept(new Event.StopRequested(System.nanoTime()));
  }

  private void exit(int status, String reason) {
    LogLine.of("exit").with("status", status).with("why", reason).info(LOG);
    exitStatus.offer(status);
  }

  /**
   * Waits until the instance decides to exit.
   *
   * @return the exit status of the process
   * @throws InterruptedException if the thread is interrupted while it waits
   */
  public int awaitExit() throws InterruptedException {
    return exitStatus.take();
  }

  @Override
  public void close() {
    try {
      callerServer.stop();
      operatorServer.stop();
      backendClient.stop();
    } catch (Exception e) {
      LogLine.of("stop-failed").error(LOG, e);
    }
    control.close();
    metrics.close();
  }
}
