package dev.toucanstall.wire.job;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import dev.toucanstall.core.job.JobRecord;
import dev.toucanstall.core.node.Leader;
import dev.toucanstall.core.node.NodeMessage;
import dev.toucanstall.wire.Decoded;
import dev.toucanstall.wire.json.Mappers;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * Writes and reads one type of message as MessagePack. Thread-safe.
 *
 * @param <T> the type
 */
public final class JobCodec<T> {

  /** Job records as they are stored. */
  public static final JobCodec<JobRecord> RECORDS = new JobCodec<>(JobRecord.class);

  /** Messages between entry instances. */
  public static final JobCodec<NodeMessage> MESSAGES = new JobCodec<>(NodeMessage.class);

  /** The name and address of the planner as it is stored. */
  public static final JobCodec<Leader> LEADERS = new JobCodec<>(Leader.class);

  private final ObjectWriter writer;
  private final ObjectReader reader;

  /** Reads what earlier versions have stored. */
  private final ObjectReader former;

  private JobCodec(Class<T> type) {
    ObjectMapper mapper = Mappers.forMessagePack();
    writer = mapper.writerFor(type);
    reader = mapper.readerFor(type);
    former = Mappers.forLegacyMessagePack().readerFor(type);
  }

  /**
   * Encodes a value.
   *
   * @param value the value
   * @return the bytes
   */
  public byte[] encode(T value) {
    try {
      return writer.writeValueAsBytes(value);
    } catch (IOException e) {
      throw new UncheckedIOException("%s has no encoding".formatted(value.getClass()), e);
    }
  }

  /**
   * Decodes a value.
   *
   * @param bytes the bytes, not trusted to be well-formed
   * @return the value, or why the bytes are malformed
   */
  public Decoded<T> decode(byte[] bytes) {
    Decoded<T> decoded = decode(reader, bytes);
    if (decoded instanceof Decoded.Malformed<T>
        && decode(former, bytes) instanceof Decoded.Value<T> value) {
      return value;
    }
    return decoded;
  }

  private Decoded<T> decode(ObjectReader with, byte[] bytes) {
    try {
      T value = with.readValue(bytes);
      return value == null
          ? new Decoded.Malformed<>("the bytes hold nil")
          : new Decoded.Value<>(value);
    } catch (IOException | RuntimeException e) {
      return new Decoded.Malformed<>(
          e.getClass().getSimpleName() + ": " + String.valueOf(e.getMessage()));
    }
  }
}
