package dev.toucanstall.entry.traffic;

import java.io.IOException;
import java.io.OutputStream;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

/**
 * Writes a streamed answer to a caller. Once the caller is gone it takes and drops the rest, so
 * that the slot of the attempt is freed only when the backend server has truly ended. Not
 * thread-safe.
 */
final class CallerSink {

  private final OutputStream output;
  private @Nullable IOException failure;

  CallerSink(OutputStream output) {
    this.output = output;
  }

  /** Writes bytes unless the caller is gone. */
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

  /** Ends the answer as whole, or reports that the caller is gone. */
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
