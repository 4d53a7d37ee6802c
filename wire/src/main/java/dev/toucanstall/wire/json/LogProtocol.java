package dev.toucanstall.wire.json;

import java.util.List;

/** The bodies of the platform's log service over HTTP. */
public final class LogProtocol {

  private LogProtocol() {}

  /**
   * The answer to an append.
   *
   * @param offset the offset of the new record
   */
  public record Appended(long offset) {}

  /**
   * One record as read.
   *
   * @param offset its offset
   * @param data its text
   */
  public record Read(long offset, String data) {}

  /**
   * The answer to a read.
   *
   * @param first the oldest offset that the log still has
   * @param end the offset that the next append will get
   * @param records consecutive records from the asked offset, or from {@code first} if that is
   *     later
   */
  public record Records(long first, long end, List<Read> records) {

    /** Creates the answer. */
    public Records {
      records = List.copyOf(records);
    }
  }
}
