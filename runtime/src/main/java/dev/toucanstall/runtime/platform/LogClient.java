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

/** HTTP client of the platform's log. Thread-safe. */
public final class LogClient {

  private static final JsonCodec<LogProtocol.Records> RECORDS_CODEC =
      JsonCodec.of(LogProtocol.Records.class);
  private static final int MAX_RECORDS_PER_READ = 500;

  private final BlockingHttpClient client;
  private final String url;
  private final Duration timeout;

  /**
   * Creates a client.
   *
   * @param client sends the requests
   * @param url URL of the log service, without a trailing slash
   * @param timeout maximum time until the response to a request, to which a read adds the time that
   *     the log may wait for records
   */
  public LogClient(BlockingHttpClient client, String url, Duration timeout) {
    this.client = client;
    this.url = url;
    this.timeout = timeout;
  }

  /**
   * Appends a record.
   *
   * @param text text of the record
   * @throws IOException if the log does not confirm the append in time; the record may still be
   *     appended
   * @throws InterruptedException if the thread is interrupted while it waits
   */
  public void append(String text) throws IOException, InterruptedException {
    BlockingHttpClient.Response response = client.send("POST", url + "/append", "", text, timeout);
    if (!response.isOk()) {
      throw new IOException("log returned status %d for an append".formatted(response.status()));
    }
  }

  /**
   * Reads up to 500 records.
   *
   * @param fromOffset offset of the first record to read
   * @param maxWait maximum time that the log waits for a record if it has none at the offset
   * @return the records, may be empty
   * @throws IOException if no well-formed response with status 200 is received in time
   * @throws InterruptedException if the thread is interrupted while it waits
   */
  public LogProtocol.Records read(long fromOffset, Duration maxWait)
      throws IOException, InterruptedException {
    String path =
        "/read?from=%d&max=%d&wait=%d"
            .formatted(fromOffset, MAX_RECORDS_PER_READ, maxWait.toMillis());
    BlockingHttpClient.Response response = client.send("GET", url + path, timeout.plus(maxWait));
    if (!response.isOk()) {
      throw new IOException("log returned status %d for a read".formatted(response.status()));
    }
    return switch (RECORDS_CODEC.decode(response.body())) {
      case Decoded.Value<LogProtocol.Records> value -> value.value();
      case Decoded.Malformed<LogProtocol.Records> malformed ->
          throw new IOException(
              "log returned a malformed response for a read: " + malformed.reason());
    };
  }

  /**
   * Reads the whole log for its newest complete snapshot.
   *
   * @return the parts of the snapshot in order, or empty if the log contains no complete snapshot
   * @throws IOException if a read fails
   * @throws InterruptedException if the thread is interrupted while it waits
   */
  public Optional<List<SnapshotPart>> newestSnapshot() throws IOException, InterruptedException {
    Map<String, Map<Integer, SnapshotPart>> partsBySnapshot = new HashMap<>();
    List<SnapshotPart> newest = List.of();
    long nextOffset = 0;
    LogProtocol.Records records = read(nextOffset, Duration.ZERO);
    while (!records.records().isEmpty()) {
      for (LogProtocol.Read read : records.records()) {
        if (RecordCodec.decode(read.offset(), read.data()).body() instanceof SnapshotPart part) {
          List<SnapshotPart> complete = addPart(partsBySnapshot, part);
          newest = complete.isEmpty() ? newest : complete;
        }
        nextOffset = read.offset() + 1;
      }
      records = read(nextOffset, Duration.ZERO);
    }
    return newest.isEmpty() ? Optional.empty() : Optional.of(newest);
  }

  /**
   * Adds a part of a snapshot. If that snapshot is now complete, returns all parts of the snapshot
   * and discards the parts of other snapshots, else returns an empty list.
   */
  private static List<SnapshotPart> addPart(
      Map<String, Map<Integer, SnapshotPart>> partsBySnapshot, SnapshotPart part) {
    Map<Integer, SnapshotPart> parts =
        partsBySnapshot.computeIfAbsent(part.snapshot(), name -> new HashMap<>());
    parts.put(part.index(), part);
    if (parts.size() < part.count()) {
      return List.of();
    }
    partsBySnapshot.clear();
    return new ArrayList<>(parts.values());
  }
}
