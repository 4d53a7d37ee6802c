package dev.toucanstall.entry.traffic;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;

/** Input stream that throws once more bytes are read than a limit allows. Not thread-safe. */
final class LimitedInputStream extends FilterInputStream {

  private long remainingBytes;

  static final class BodyTooLargeException extends IOException {

    private static final long serialVersionUID = 1L;

    BodyTooLargeException() {
      super("body is larger than the limit");
    }
  }

  LimitedInputStream(InputStream in, long limit) {
    super(in);
    this.remainingBytes = limit;
  }

  @Override
  public int read() throws IOException {
    int value = super.read();
    consume(value < 0 ? 0 : 1);
    return value;
  }

  @Override
  public int read(byte[] bytes, int offset, int length) throws IOException {
    int count = super.read(bytes, offset, length);
    consume(Math.max(0, count));
    return count;
  }

  private void consume(int bytes) throws IOException {
    remainingBytes -= bytes;
    if (remainingBytes < 0) {
      throw new BodyTooLargeException();
    }
  }
}
