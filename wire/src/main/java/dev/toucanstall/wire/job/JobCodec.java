package dev.toucanstall.wire.job;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import dev.toucanstall.core.job.JobRecord;
import dev.toucanstall.core.node.Leader;
import dev.toucanstall.core.node.LeaderSize;
import dev.toucanstall.core.node.NodeMessage;
import dev.toucanstall.wire.Decoded;
import dev.toucanstall.wire.json.Mappers;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * Encodes and decodes values of one type as MessagePack. Thread-safe.
 *
 * @param <T> the type of the values
 */
public final class JobCodec<T> {

  /** Codec of stored job records. */
  public static final JobCodec<JobRecord> RECORDS = new JobCodec<>(JobRecord.class);

  /** Codec of messages between entry instances. */
  public static final JobCodec<NodeMessage> MESSAGES = new JobCodec<>(NodeMessage.class);

  /** Codec of the stored name and address of the elected planner. */
  public static final JobCodec<Leader> LEADERS = new JobCodec<>(Leader.class);

  /** Codec of the stored processor capacity of a planner. */
  public static final JobCodec<LeaderSize> LEADER_SIZES = new JobCodec<>(LeaderSize.class);

  private final ObjectWriter writer;
  private final ObjectReader reader;

  /** Reader of records that earlier versions have stored. */
  private final ObjectReader legacyReader;

  private JobCodec(Class<T> type) {
    ObjectMapper mapper = Mappers.forMessagePack();
    writer = mapper.writerFor(type);
    reader = mapper.readerFor(type);
    legacyReader = Mappers.forLegacyMessagePack().readerFor(type);
  }

  /**
   * Encodes a value.
   *
   * @param value the value
   * @return the bytes
   * @throws UncheckedIOException if the value cannot be encoded
   */
  public byte[] encode(T value) {
    try {
      return writer.writeValueAsBytes(value);
    } catch (IOException e) {
      throw new UncheckedIOException(
          "value of %s cannot be encoded".formatted(value.getClass()), e);
    }
  }

  /**
   * Decodes a value, also in the encoding of earlier versions.
   *
   * @param bytes the bytes, not trusted to be well-formed
   * @return the value, or the reason why the bytes are malformed
   */
  public Decoded<T> decode(byte[] bytes) {
    Decoded<T> decoded = decode(reader, bytes);
    if (decoded instanceof Decoded.Malformed<T>
        && decode(legacyReader, bytes) instanceof Decoded.Value<T> value) {
      return value;
    }
    return decoded;
  }

  private Decoded<T> decode(ObjectReader objectReader, byte[] bytes) {
    try {
      T value = objectReader.readValue(bytes);
      return value == null
          ? new Decoded.Malformed<>("the bytes hold nil")
          : new Decoded.Value<>(value);
    } catch (IOException | RuntimeException e) {
      return new Decoded.Malformed<>(
          e.getClass().getSimpleName() + ": " + String.valueOf(e.getMessage()));
    }
  }
}
