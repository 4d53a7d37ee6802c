package dev.toucanstall.wire.peer;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/** Length-prefixed frames on a stream. Stateless and thread-safe. */
public final class Frames {

  /** Longest frame in bytes. */
  public static final int MAX_LENGTH = 1 << 20;

  private Frames() {}

  /**
   * Writes a frame: four bytes of length, most significant first, then the bytes.
   *
   * @param out the stream, not flushed
   * @param bytes the bytes
   * @throws IOException if the stream fails or the frame is too long
   */
  public static void write(DataOutputStream out, byte[] bytes) throws IOException {
    if (bytes.length > MAX_LENGTH) {
      throw new IOException("frame of %d bytes is too long".formatted(bytes.length));
    }
    out.writeInt(bytes.length);
    out.write(bytes);
  }

  /**
   * Reads a frame.
   *
   * @param in the stream
   * @return the bytes
   * @throws IOException if the stream ends or fails, or the length is out of range
   */
  public static byte[] read(DataInputStream in) throws IOException {
    int length = in.readInt();
    if (length < 0 || length > MAX_LENGTH) {
      throw new IOException("frame length %d is not in 0..%d".formatted(length, MAX_LENGTH));
    }
    byte[] bytes = new byte[length];
    in.readFully(bytes);
    return bytes;
  }
}
