package dev.toucanstall.entry.control;

import dev.toucanstall.core.event.Event;
import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.runtime.log.LogLine;
import dev.toucanstall.runtime.platform.FleetClient;
import java.io.IOException;
import java.time.Duration;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Polls the platform's instance list and requests restarts of instances. Thread-safe. */
final class FleetPoller implements AutoCloseable {

  private static final Logger LOG = LogManager.getLogger(FleetPoller.class);
  private static final Duration POLL_INTERVAL = Duration.ofSeconds(1);

  private final FleetClient client;
  private final Consumer<Event> events;
  private final Thread thread;

  FleetPoller(FleetClient client, Consumer<Event> events) {
    this.client = client;
    this.events = events;
    this.thread = Thread.ofVirtual().name("list-read").start(this::pollLoop);
  }

  /**
   * Requests a restart of an instance without waiting for the reply; a failure is only logged.
   *
   * @param instance the instance
   * @param incarnation the incarnation to end; a later one is not restarted
   */
  void restart(InstanceId instance, long incarnation) {
    Thread.ofVirtual()
        .name("restart-" + instance)
        .start(() -> requestRestart(instance, incarnation));
  }

  private void requestRestart(InstanceId instance, long incarnation) {
    try {
      client.restart(instance, incarnation);
    } catch (IOException e) {
      LogLine.of("restart-failed")
          .with("instance", instance)
          .with("why", String.valueOf(e.getMessage()))
          .warn(LOG);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void pollLoop() {
    try {
      while (true) {
        pollOnce();
        Thread.sleep(POLL_INTERVAL);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void pollOnce() throws InterruptedException {
    try {
      events.accept(new Event.ListRead(System.nanoTime(), client.listInstances()));
    } catch (IOException e) {
      LogLine.of("list-unreachable").with("why", String.valueOf(e.getMessage())).info(LOG);
    }
  }

  @Override
  public void close() {
    thread.interrupt();
  }
}
