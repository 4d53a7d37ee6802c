package dev.toucanstall.entry.control;

import dev.toucanstall.core.fold.AppliedState;
import dev.toucanstall.core.model.Producer;
import dev.toucanstall.core.record.RecordBody.SnapshotPart;
import dev.toucanstall.runtime.log.LogLine;
import dev.toucanstall.runtime.platform.LogClient;
import dev.toucanstall.wire.json.RecordCodec;
import dev.toucanstall.wire.json.SnapshotCodec;
import java.io.IOException;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Appends records to the log one after another on a thread of its own. Thread-safe. A record that
 * fails, or finds the queue full, is dropped: whoever wants it in the log appends it again until it
 * is read back.
 */
final class LogAppender implements AutoCloseable {

  private static final Logger LOG = LogManager.getLogger(LogAppender.class);
  private static final int QUEUE_LENGTH = 256;

  private final LogClient log;
  private final Producer snapshots;
  private final BlockingQueue<Work> queue = new ArrayBlockingQueue<>(QUEUE_LENGTH);
  private final Thread thread;
  private long snapshotSequence;

  /** Something to append. */
  @FunctionalInterface
  private interface Work {
    void run() throws IOException, InterruptedException;
  }

  /**
   * Starts the thread.
   *
   * @param log the log
   * @param self the name under which this instance writes
   */
  LogAppender(LogClient log, Producer self) {
    this.log = log;
    this.snapshots = new Producer(self.name() + ".snapshots", self.incarnation());
    this.thread = Thread.ofVirtual().name("log-append").start(this::run);
  }

  /** Queues a record. */
  void append(RecordCodec.Line line) {
    if (!queue.offer(() -> log.append(RecordCodec.encode(line)))) {
      LogLine.of("append-dropped").with("producer", line.producer().name()).warn(LOG);
    }
  }

  /** Queues a snapshot. */
  void appendSnapshot(AppliedState folded) {
    if (!queue.offer(() -> write(folded))) {
      LogLine.of("snapshot-dropped").with("offset", folded.offset()).warn(LOG);
    }
  }

  private void write(AppliedState folded) throws IOException, InterruptedException {
    String name = snapshots.name() + "-" + snapshots.incarnation() + "-" + folded.offset();
    for (SnapshotPart part : SnapshotCodec.encode(folded, name)) {
      snapshotSequence++;
      log.append(RecordCodec.encode(new RecordCodec.Line(snapshots, snapshotSequence, part)));
    }
    LogLine.of("snapshot-written").with("offset", folded.offset()).info(LOG);
  }

  private void run() {
    try {
      while (true) {
        runOne(queue.take());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void runOne(Work work) throws InterruptedException {
    try {
      work.run();
    } catch (IOException e) {
      LogLine.of("append-failed").with("why", String.valueOf(e.getMessage())).warn(LOG);
    }
  }

  @Override
  public void close() {
    thread.interrupt();
  }
}
