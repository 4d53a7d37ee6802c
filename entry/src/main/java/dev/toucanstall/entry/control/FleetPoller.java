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

/** Reads the platform's list at intervals and passes restarts on to the platform. Thread-safe. */
final class FleetPoller implements AutoCloseable {

  private static final Logger LOG = LogManager.getLogger(FleetPoller.class);
  private static final Duration EVERY = Duration.ofSeconds(1);

  private final FleetClient fleet;
  private final Consumer<Event> events;
  private final Thread thread;

  FleetPoller(FleetClient fleet, Consumer<Event> events) {
    this.fleet = fleet;
    this.events = events;
    this.thread = Thread.ofVirtual().name("list-read").start(this::run);
  }

  /** Asks the platform to restart an instance. */
  void restart(InstanceId instance, long incarnation) {
    Thread.ofVirtual().name("restart-" + instance).start(() -> ask(instance, incarnation));
  }

  private void ask(InstanceId instance, long incarnation) {
    try {
      fleet.restart(instance, incarnation);
    } catch (IOException e) {
      LogLine.of("restart-failed")
          .with("instance", instance)
          .with("why", String.valueOf(e.getMessage()))
          .warn(LOG);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() {
    try {
      while (true) {
        read();
        Thread.sleep(EVERY);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void read() throws InterruptedException {
    try {
      events.accept(new Event.ListRead(System.nanoTime(), fleet.listInstances()));
    } catch (IOException e) {
      LogLine.of("list-unreachable").with("why", String.valueOf(e.getMessage())).info(LOG);
    }
  }

  @Override
  public void close() {
    thread.interrupt();
  }
}
