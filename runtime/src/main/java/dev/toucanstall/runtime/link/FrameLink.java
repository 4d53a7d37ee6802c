package dev.toucanstall.runtime.link;

import dev.toucanstall.runtime.log.LogLine;
import dev.toucanstall.wire.peer.Frames;
import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/** One TCP link: a reading thread and a writing thread with a bounded queue. Thread-safe. */
public final class FrameLink implements AutoCloseable {

  private static final Logger LOG = LogManager.getLogger(FrameLink.class);
  private static final int QUEUE_LENGTH = 1_024;

  private final Socket socket;
  private final DataInputStream in;
  private final DataOutputStream out;
  private final BlockingQueue<byte[]> queue = new ArrayBlockingQueue<>(QUEUE_LENGTH);
  private volatile @Nullable Thread writer;

  /** Takes a frame; an exception ends the link. */
  @FunctionalInterface
  public interface FrameHandler {

    /**
     * Takes a frame.
     *
     * @param frame the bytes
     * @throws IOException if the frame is malformed
     */
    void handle(byte[] frame) throws IOException;
  }

  /**
   * Creates a link.
   *
   * @param socket a connected socket, closed with the link
   * @throws IOException if the socket is closed
   */
  public FrameLink(Socket socket) throws IOException {
    this.socket = socket;
    this.in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
    this.out = new DataOutputStream(new BufferedOutputStream(socket.getOutputStream()));
  }

  /**
   * Returns the stream of received bytes, for a handshake.
   *
   * @return the stream
   */
  public DataInputStream in() {
    return in;
  }

  /**
   * Returns the stream of sent bytes, for a handshake.
   *
   * @return the stream
   */
  public DataOutputStream out() {
    return out;
  }

  /**
   * Queues a frame without blocking.
   *
   * @param bytes the frame
   * @return false if the queue is full
   */
  public boolean offer(byte[] bytes) {
    return queue.offer(bytes);
  }

  /**
   * Reads frames until the link ends, on the calling thread, and writes on another.
   *
   * @param received takes each frame
   * @return why the link ended
   */
  public String run(FrameHandler received) {
    Thread writing = Thread.ofVirtual().name("link-write").start(this::write);
    writer = writing;
    try {
      while (true) {
        received.handle(Frames.read(in));
      }
    } catch (IOException e) {
      String why = e.getClass().getSimpleName() + ": " + e.getMessage();
      LogLine.of("link-ended").with("why", why).info(LOG);
      return why;
    } finally {
      close();
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
      LogLine.of("link-close-failed").with("why", e).warn(LOG);
    }
  }
}
