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

/**
 * TCP link that carries frames: the thread in {@link #run} reads, another one writes frames from a
 * bounded queue. Thread-safe.
 */
public final class FrameLink implements AutoCloseable {

  private static final Logger LOG = LogManager.getLogger(FrameLink.class);
  private static final int MAX_QUEUED_FRAMES = 1_024;

  private final Socket socket;
  private final DataInputStream in;
  private final DataOutputStream out;
  private final BlockingQueue<byte[]> queue = new ArrayBlockingQueue<>(MAX_QUEUED_FRAMES);
  private volatile @Nullable Thread writerThread;

  /** Handles received frames; an {@link IOException} ends the link. */
  @FunctionalInterface
  public interface FrameHandler {

    /**
     * Handles a frame.
     *
     * @param frame content of the frame
     * @throws IOException if the frame is malformed
     */
    void handle(byte[] frame) throws IOException;
  }

  /**
   * Creates a link.
   *
   * @param socket a connected socket, closed with the link
   * @throws IOException if the streams of the socket cannot be opened
   */
  public FrameLink(Socket socket) throws IOException {
    this.socket = socket;
    this.in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
    this.out = new DataOutputStream(new BufferedOutputStream(socket.getOutputStream()));
  }

  /**
   * Returns the stream of received bytes, for a handshake before {@link #run}.
   *
   * @return the stream
   */
  public DataInputStream in() {
    return in;
  }

  /**
   * Returns the stream of sent bytes, for a handshake before {@link #run}.
   *
   * @return the stream
   */
  public DataOutputStream out() {
    return out;
  }

  /**
   * Queues a frame without blocking.
   *
   * @param frame content of the frame
   * @return false if the queue is full and the frame was dropped
   */
  public boolean offer(byte[] frame) {
    return queue.offer(frame);
  }

  /**
   * Reads frames on the calling thread, and writes queued ones on another, until the link ends.
   *
   * @param handler handles each received frame
   * @return the reason why the link ended
   */
  public String run(FrameHandler handler) {
    Thread thread = Thread.ofVirtual().name("link-write").start(this::writeFrames);
    writerThread = thread;
    try {
      while (true) {
        handler.handle(Frames.read(in));
      }
    } catch (IOException e) {
      String reason = e.getClass().getSimpleName() + ": " + e.getMessage();
      LogLine.of("link-ended").with("why", reason).info(LOG);
      return reason;
    } finally {
      close();
    }
  }

  private void writeFrames() {
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
    Thread thread = writerThread;
    if (thread != null) {
      thread.interrupt();
    }
    try {
      socket.close();
    } catch (IOException e) {
      LogLine.of("link-close-failed").with("why", e).warn(LOG);
    }
  }
}
