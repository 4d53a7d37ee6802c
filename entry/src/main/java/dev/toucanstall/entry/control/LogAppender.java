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
 * Appends records to the log one at a time on a separate thread. Thread-safe.
 *
 * <p>A record is dropped if its append fails or the queue is full: the control thread requests the
 * append again until the record is read back from the log.
 */
final class LogAppender implements AutoCloseable {

  private static final Logger LOG = LogManager.getLogger(LogAppender.class);
  private static final int QUEUE_CAPACITY = 256;

  private final LogClient client;
  private final Producer snapshotProducer;
  private final BlockingQueue<AppendTask> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
  private final Thread thread;
  private long snapshotSequence;

  @FunctionalInterface
  private interface AppendTask {
    void append() throws IOException, InterruptedException;
  }

  /**
   * Starts the thread.
   *
   * @param client appends to the log
   * @param producer producer of this instance's records; snapshots are written under its name with
   *     the suffix ".snapshots"
   */
  LogAppender(LogClient client, Producer producer) {
    this.client = client;
    this.snapshotProducer = new Producer(producer.name() + ".snapshots", producer.incarnation());
    this.thread = Thread.ofVirtual().name("log-append").start(this::runLoop);
  }

  /** Queues a record; drops it if the queue is full. */
  void append(RecordCodec.Line line) {
    if (!queue.offer(() -> client.append(RecordCodec.encode(line)))) {
      LogLine.of("append-dropped").with("producer", line.producer().name()).warn(LOG);
    }
  }

  /** Queues a snapshot; drops it if the queue is full. */
  void appendSnapshot(AppliedState appliedState) {
    if (!queue.offer(() -> writeSnapshot(appliedState))) {
      LogLine.of("snapshot-dropped").with("offset", appliedState.offset()).warn(LOG);
    }
  }

  private void writeSnapshot(AppliedState appliedState) throws IOException, InterruptedException {
    String name =
        snapshotProducer.name()
            + "-"
            + snapshotProducer.incarnation()
            + "-"
            + appliedState.offset();
    for (SnapshotPart part : SnapshotCodec.encode(appliedState, name)) {
      snapshotSequence++;
      client.append(
          RecordCodec.encode(new RecordCodec.Line(snapshotProducer, snapshotSequence, part)));
    }
    LogLine.of("snapshot-written").with("offset", appliedState.offset()).info(LOG);
  }

  private void runLoop() {
    try {
      while (true) {
        runOne(queue.take());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void runOne(AppendTask task) throws InterruptedException {
    try {
      task.append();
    } catch (IOException e) {
      LogLine.of("append-failed").with("why", String.valueOf(e.getMessage())).warn(LOG);
    }
  }

  @Override
  public void close() {
    thread.interrupt();
  }
}
