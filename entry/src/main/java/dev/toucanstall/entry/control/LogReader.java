package dev.toucanstall.entry.control;

import dev.toucanstall.core.event.Event;
import dev.toucanstall.core.fold.AppliedState;
import dev.toucanstall.core.record.LogEntry;
import dev.toucanstall.core.record.RecordBody.SnapshotPart;
import dev.toucanstall.runtime.log.LogLine;
import dev.toucanstall.runtime.platform.LogClient;
import dev.toucanstall.wire.Decoded;
import dev.toucanstall.wire.json.LogProtocol;
import dev.toucanstall.wire.json.RecordCodec;
import dev.toucanstall.wire.json.SnapshotCodec;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Reads the log on a separate thread and posts the records as events. Thread-safe.
 *
 * <p>Each read is a long poll: a new record arrives without delay, and the wait is short enough to
 * confirm the end of the log several times within {@code timing.freshness-ms}.
 */
final class LogReader implements AutoCloseable {

  private static final Logger LOG = LogManager.getLogger(LogReader.class);
  private static final Duration LONG_POLL_WAIT = Duration.ofMillis(500);
  private static final long RETRY_DELAY_MILLIS = 200;

  private final LogClient client;
  private final Consumer<Event> events;
  private final AtomicLong nextOffset = new AtomicLong();
  private final AtomicBoolean reloadRequested = new AtomicBoolean();
  private final Thread thread;
  private boolean reachable = true;

  LogReader(LogClient client, Consumer<Event> events) {
    this.client = client;
    this.events = events;
    this.thread = Thread.ofVirtual().name("log-read").unstarted(this::readLoop);
  }

  /** Starts the thread, which reads the log from offset 0. */
  void start() {
    thread.start();
  }

  /** Continues with the record at an offset. */
  void readFrom(long offset) {
    nextOffset.set(offset);
  }

  /** Loads the newest snapshot before the next read, then the records after the snapshot. */
  void requestReload() {
    reloadRequested.set(true);
  }

  private void readLoop() {
    try {
      while (true) {
        readOnce();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void readOnce() throws InterruptedException {
    try {
      if (reloadRequested.getAndSet(false)) {
        loadSnapshot();
      }
      readRecords();
      logReachability(true, "");
    } catch (IOException e) {
      logReachability(false, String.valueOf(e.getMessage()));
      Thread.sleep(RETRY_DELAY_MILLIS);
    }
  }

  private void logReachability(boolean reachableNow, String reason) {
    if (reachableNow != reachable) {
      reachable = reachableNow;
      LogLine.of(reachableNow ? "log-reachable" : "log-unreachable").with("why", reason).warn(LOG);
    }
  }

  private void readRecords() throws IOException, InterruptedException {
    long fromOffset = nextOffset.get();
    long requestedAt = System.nanoTime();
    LogProtocol.Records read = client.read(fromOffset, LONG_POLL_WAIT);
    List<LogEntry> entries =
        read.records().stream()
            .map(logRecord -> RecordCodec.decode(logRecord.offset(), logRecord.data()))
            .toList();
    if (!entries.isEmpty()) {
      nextOffset.compareAndSet(fromOffset, entries.get(entries.size() - 1).offset() + 1);
    }
    events.accept(
        new Event.LogRead(System.nanoTime(), requestedAt, read.first(), read.end(), entries));
  }

  private void loadSnapshot() throws IOException, InterruptedException {
    Optional<List<SnapshotPart>> parts = client.newestSnapshot();
    if (parts.isEmpty()) {
      LogLine.of("snapshot-missing").warn(LOG);
      Thread.sleep(RETRY_DELAY_MILLIS);
      return;
    }
    switch (SnapshotCodec.decode(parts.get())) {
      case Decoded.Value<AppliedState> value -> {
        nextOffset.set(value.value().offset() + 1);
        events.accept(new Event.SnapshotLoaded(System.nanoTime(), value.value()));
      }
      case Decoded.Malformed<AppliedState> malformed ->
          LogLine.of("snapshot-malformed").with("why", malformed.reason()).warn(LOG);
    }
  }

  @Override
  public void close() {
    thread.interrupt();
  }
}
