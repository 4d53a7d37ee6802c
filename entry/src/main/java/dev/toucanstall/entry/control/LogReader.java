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
 * Reads the log on a thread of its own and posts what it reads as events. Thread-safe.
 *
 * <p>Each read waits a short time at the log, so that a new record arrives at once and the end of
 * the log is confirmed several times within the freshness time.
 */
final class LogReader implements AutoCloseable {

  private static final Logger LOG = LogManager.getLogger(LogReader.class);
  private static final Duration WAIT = Duration.ofMillis(500);
  private static final long PAUSE_MILLIS = 200;

  private final LogClient log;
  private final Consumer<Event> events;
  private final AtomicLong next = new AtomicLong();
  private final AtomicBoolean reload = new AtomicBoolean();
  private final Thread thread;
  private boolean reachable = true;

  LogReader(LogClient log, Consumer<Event> events) {
    this.log = log;
    this.events = events;
    this.thread = Thread.ofVirtual().name("log-read").unstarted(this::run);
  }

  /** Starts to read from the beginning of the log. */
  void start() {
    thread.start();
  }

  /** Reads from an offset from now on. */
  void readFrom(long offset) {
    next.set(offset);
  }

  /** Reads the newest snapshot again before anything else. */
  void reload() {
    reload.set(true);
  }

  private void run() {
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
      if (reload.getAndSet(false)) {
        loadSnapshot();
      }
      readRecords();
      noteReachable(true, "");
    } catch (IOException e) {
      noteReachable(false, String.valueOf(e.getMessage()));
      Thread.sleep(PAUSE_MILLIS);
    }
  }

  private void noteReachable(boolean now, String why) {
    if (now != reachable) {
      reachable = now;
      LogLine.of(now ? "log-reachable" : "log-unreachable").with("why", why).warn(LOG);
    }
  }

  private void readRecords() throws IOException, InterruptedException {
    long from = next.get();
    long askedAt = System.nanoTime();
    LogProtocol.Records read = log.read(from, WAIT);
    List<LogEntry> entries =
        read.records().stream().map(r -> RecordCodec.decode(r.offset(), r.data())).toList();
    if (!entries.isEmpty()) {
      next.compareAndSet(from, entries.get(entries.size() - 1).offset() + 1);
    }
    events.accept(new Event.LogRead(System.nanoTime(), askedAt, read.first(), read.end(), entries));
  }

  private void loadSnapshot() throws IOException, InterruptedException {
    Optional<List<SnapshotPart>> parts = log.newestSnapshot();
    if (parts.isEmpty()) {
      LogLine.of("snapshot-missing").warn(LOG);
      Thread.sleep(PAUSE_MILLIS);
      return;
    }
    switch (SnapshotCodec.decode(parts.get())) {
      case Decoded.Value<AppliedState> value -> {
        next.set(value.value().offset() + 1);
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
