package dev.toucanstall.wire.json;

import java.util.List;

/** Response bodies of the platform's log service over HTTP. */
public final class LogProtocol {

  private LogProtocol() {}

  /**
   * Response to an append.
   *
   * @param offset offset of the new record
   */
  public record Appended(long offset) {}

  /**
   * One record of the log.
   *
   * @param offset offset of the record
   * @param data text of the record, as {@link RecordCodec} encodes it
   */
  public record Read(long offset, String data) {}

  /**
   * Response to a read.
   *
   * @param first oldest offset that the log retains
   * @param end offset that the next append gets
   * @param records consecutive records from the requested offset, or from {@code first} if that is
   *     later
   */
  public record Records(long first, long end, List<Read> records) {

    /** Copies the list. */
    public Records {
      records = List.copyOf(records);
    }
  }
}
