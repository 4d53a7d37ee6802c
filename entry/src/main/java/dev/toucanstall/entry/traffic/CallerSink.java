package dev.toucanstall.entry.traffic;

import java.io.IOException;
import java.io.OutputStream;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

/**
 * Writes a streamed response to a caller. Once a write fails, as the caller has disconnected, the
 * rest is discarded: the backend server's response is still read to its end, so that the slot of
 * the attempt is freed only when the backend server has ended the work. Not thread-safe.
 */
final class CallerSink {

  private final OutputStream output;
  private @Nullable IOException failure;

  CallerSink(OutputStream output) {
    this.output = output;
  }

  /** Writes bytes, or discards them if an earlier write failed. */
  void write(byte[] bytes, int count) {
    if (failure != null) {
      return;
    }
    try {
      output.write(bytes, 0, count);
    } catch (IOException e) {
      failure = e;
    }
  }

  /** Completes the response, or fails the callback if a write failed. */
  void finish(Callback callback) {
    if (failure == null) {
      try {
        output.close();
      } catch (IOException e) {
        failure = e;
      }
    }
    if (failure == null) {
      callback.succeeded();
    } else {
      callback.failed(failure);
    }
  }
}
