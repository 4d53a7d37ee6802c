package dev.toucanstall.wire.peer;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/** Reads and writes length-prefixed frames. Stateless and thread-safe. */
public final class Frames {

  /** Maximum length of a frame, in bytes. */
  public static final int MAX_FRAME_BYTES = 1 << 20;

  private Frames() {}

  /**
   * Writes a frame: its length as four bytes, most significant first, then its content.
   *
   * @param out the stream, which is not flushed
   * @param content content of the frame
   * @throws IOException if the stream fails or the content has more than {@link #MAX_FRAME_BYTES}
   */
  public static void write(DataOutputStream out, byte[] content) throws IOException {
    if (content.length > MAX_FRAME_BYTES) {
      throw new IOException(
          ("frame of %d bytes exceeds the limit of " + MAX_FRAME_BYTES).formatted(content.length));
    }
    out.writeInt(content.length);
    out.write(content);
  }

  /**
   * Reads a frame.
   *
   * @param in the stream
   * @return content of the frame
   * @throws IOException if the stream ends or fails, or the length is out of range
   */
  public static byte[] read(DataInputStream in) throws IOException {
    int length = in.readInt();
    if (length < 0 || length > MAX_FRAME_BYTES) {
      throw new IOException("frame length %d is not in 0..%d".formatted(length, MAX_FRAME_BYTES));
    }
    byte[] content = new byte[length];
    in.readFully(content);
    return content;
  }
}
