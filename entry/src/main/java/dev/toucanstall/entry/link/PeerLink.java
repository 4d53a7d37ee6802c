package dev.toucanstall.entry.link;

import dev.toucanstall.core.peer.PeerMessage;
import dev.toucanstall.runtime.log.LogLine;
import dev.toucanstall.wire.Decoded;
import dev.toucanstall.wire.peer.Frames;
import dev.toucanstall.wire.peer.PeerCodec;
import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/** One TCP link to a peer: a reading thread and a writing thread with a bounded queue. */
final class PeerLink implements AutoCloseable {

  private static final Logger LOG = LogManager.getLogger(PeerLink.class);
  private static final int QUEUE_LENGTH = 1_024;

  private final Socket socket;
  private final DataInputStream in;
  private final DataOutputStream out;
  private final BlockingQueue<byte[]> queue = new ArrayBlockingQueue<>(QUEUE_LENGTH);
  private volatile @Nullable Thread writer;

  PeerLink(Socket socket) throws IOException {
    this.socket = socket;
    this.in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
    this.out = new DataOutputStream(new BufferedOutputStream(socket.getOutputStream()));
  }

  DataInputStream in() {
    return in;
  }

  DataOutputStream out() {
    return out;
  }

  /** Queues a message; returns false if the queue is full. */
  boolean offer(byte[] bytes) {
    return queue.offer(bytes);
  }

  /** Reads messages until the link ends, on the calling thread, and writes on another. */
  void run(Consumer<PeerMessage> received) {
    Thread writing = Thread.ofVirtual().name("peer-write").start(this::write);
    writer = writing;
    try {
      while (true) {
        take(Frames.read(in), received);
      }
    } catch (IOException e) {
      LogLine.of("peer-link-ended").with("why", String.valueOf(e.getMessage())).info(LOG);
    } finally {
      close();
    }
  }

  private static void take(byte[] frame, Consumer<PeerMessage> received) throws IOException {
    switch (PeerCodec.decode(frame)) {
      case Decoded.Value<PeerMessage> value -> received.accept(value.value());
      case Decoded.Malformed<PeerMessage> malformed ->
          throw new IOException("malformed peer message: " + malformed.why());
    }
  }

  private void write() {
    try {
      while (true) {
        Frames.write(out, queue.take());
        if (queue.isEmpty()) {
          out.flush();
        }
      }
    } catch (IOException e) {
      close();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    Thread writing = writer;
    if (writing != null) {
      writing.interrupt();
    }
    try {
      socket.close();
    } catch (IOException e) {
      LogLine.of("peer-close-failed").with("why", e).warn(LOG);
    }
  }
}
