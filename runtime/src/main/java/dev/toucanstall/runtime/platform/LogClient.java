package dev.toucanstall.runtime.platform;

import dev.toucanstall.core.record.RecordBody.SnapshotPart;
import dev.toucanstall.runtime.http.BlockingHttpClient;
import dev.toucanstall.wire.Decoded;
import dev.toucanstall.wire.json.JsonCodec;
import dev.toucanstall.wire.json.LogProtocol;
import dev.toucanstall.wire.json.RecordCodec;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Speaks to the platform's log over HTTP. Thread-safe. */
public final class LogClient {

  private static final JsonCodec<LogProtocol.Records> RECORDS =
      JsonCodec.of(LogProtocol.Records.class);
  private static final int MAX_RECORDS = 500;

  private final BlockingHttpClient calls;
  private final String url;
  private final Duration timeout;

  /**
   * Creates a client.
   *
   * @param calls sends the requests
   * @param url the URL of the log service, without a slash at its end
   * @param timeout how long to wait for an answer, a read's own wait not counted
   */
  public LogClient(BlockingHttpClient calls, String url, Duration timeout) {
    this.calls = calls;
    this.url = url;
    this.timeout = timeout;
  }

  /**
   * Appends a record. Without an error the record is in the log; with one it may be.
   *
   * @param text the record's text
   * @throws IOException if the log does not say that the record was appended
   * @throws InterruptedException if the thread is interrupted meanwhile
   */
  public void append(String text) throws IOException, InterruptedException {
    BlockingHttpClient.Response reply = calls.send("POST", url + "/append", "", text, timeout);
    if (!reply.isOk()) {
      throw new IOException("log answered an append with status %d".formatted(reply.status()));
    }
  }

  /**
   * Reads records.
   *
   * @param from the first offset wanted
   * @param wait how long the log may wait for a record if it has none
   * @return the records, may be empty
   * @throws IOException if there is no well-formed answer in time
   * @throws InterruptedException if the thread is interrupted meanwhile
   */
  public LogProtocol.Records read(long from, Duration wait)
      throws IOException, InterruptedException {
    String query = "/read?from=%d&max=%d&wait=%d".formatted(from, MAX_RECORDS, wait.toMillis());
    BlockingHttpClient.Response reply = calls.send("GET", url + query, timeout.plus(wait));
    if (!reply.isOk()) {
      throw new IOException("log answered a read with status %d".formatted(reply.status()));
    }
    return switch (RECORDS.decode(reply.body())) {
      case Decoded.Value<LogProtocol.Records> value -> value.value();
      case Decoded.Malformed<LogProtocol.Records> malformed ->
          throw new IOException("log answered a read with " + malformed.reason());
    };
  }

  /**
   * Reads the newest complete snapshot in the log.
   *
   * @return its parts in order, or empty if the log holds none
   * @throws IOException if the log does not answer
   * @throws InterruptedException if the thread is interrupted meanwhile
   */
  public Optional<List<SnapshotPart>> newestSnapshot() throws IOException, InterruptedException {
    Map<String, Map<Integer, SnapshotPart>> found = new HashMap<>();
    List<SnapshotPart> newest = List.of();
    long from = 0;
    LogProtocol.Records records = read(from, Duration.ZERO);
    while (!records.records().isEmpty()) {
      for (LogProtocol.Read read : records.records()) {
        if (RecordCodec.decode(read.offset(), read.data()).body() instanceof SnapshotPart part) {
          List<SnapshotPart> complete = collect(found, part);
          newest = complete.isEmpty() ? newest : complete;
        }
        from = read.offset() + 1;
      }
      records = read(from, Duration.ZERO);
    }
    return newest.isEmpty() ? Optional.empty() : Optional.of(newest);
  }

  /** Adds a part to those found; returns all parts of its snapshot once they are complete. */
  private static List<SnapshotPart> collect(
      Map<String, Map<Integer, SnapshotPart>> found, SnapshotPart part) {
    Map<Integer, SnapshotPart> parts =
        found.computeIfAbsent(part.snapshot(), name -> new HashMap<>());
    parts.put(part.index(), part);
    if (parts.size() < part.count()) {
      return List.of();
    }
    found.clear();
    return new ArrayList<>(parts.values());
  }
}
