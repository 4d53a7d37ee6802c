package dev.toucanstall.wire.json;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import dev.toucanstall.core.model.Producer;
import dev.toucanstall.core.record.LogEntry;
import dev.toucanstall.core.record.RecordBody;
import dev.toucanstall.wire.Decoded;
import java.util.Arrays;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Encodes and decodes the records of the log as JSON. Stateless and thread-safe.
 *
 * <p>A record of an unknown kind is decoded as {@link RecordBody.UnknownRecord}, so that replicas
 * of different versions fold the same log. The field {@code "required"} of such a record tells
 * whether replicas that do not know the kind must stop.
 */
public final class RecordCodec {

  private static final ObjectMapper MAPPER = Mappers.forJson();
  private static final JsonCodec<Line> CODEC = JsonCodec.of(Line.class);
  private static final Producer UNKNOWN_PRODUCER = new Producer("malformed", 0);
  private static final Set<String> KNOWN_KINDS =
      Arrays.stream(RecordBody.class.getPermittedSubclasses())
          .map(Mappers::kindName)
          .collect(Collectors.toUnmodifiableSet());

  private RecordCodec() {}

  /**
   * A record without the offset that the log assigns.
   *
   * @param producer producer of the record
   * @param sequence sequence number that the producer gave the record
   * @param body content of the record
   */
  public record Line(Producer producer, long sequence, RecordBody body) {

    /**
     * Checks that producer and body are present.
     *
     * @throws IllegalArgumentException if the producer or the body is null
     */
    public Line {
      if (producer == null || body == null) {
        throw new IllegalArgumentException("producer or body is missing");
      }
    }
  }

  /**
   * Encodes a record.
   *
   * @param line the record
   * @return the JSON text
   */
  public static String encode(Line line) {
    return CODEC.encode(line);
  }

  /**
   * Decodes a record.
   *
   * @param offset offset of the record in the log
   * @param text the JSON text, not trusted to be well-formed
   * @return the record, with the body {@link RecordBody.UnknownRecord} if the text is malformed or
   *     the kind unknown
   */
  public static LogEntry decode(long offset, String text) {
    return switch (decodeLine(text)) {
      case Decoded.Value<Line> line ->
          new LogEntry(
              offset, line.value().producer(), line.value().sequence(), line.value().body());
      case Decoded.Malformed<Line> malformed ->
          new LogEntry(
              offset, UNKNOWN_PRODUCER, offset, new RecordBody.UnknownRecord("malformed", false));
    };
  }

  private static Decoded<Line> decodeLine(String text) {
    try {
      JsonNode root = MAPPER.readTree(text);
      String kind = root == null ? "" : root.path("body").path("kind").asText();
      if (root == null || kind.isEmpty() || KNOWN_KINDS.contains(kind)) {
        return CODEC.decode(text);
      }
      Producer producer = MAPPER.treeToValue(root.path("producer"), Producer.class);
      boolean required = root.path("body").path("required").asBoolean(false);
      return producer == null
          ? new Decoded.Malformed<>("producer is missing")
          : new Decoded.Value<>(
              new Line(
                  producer,
                  root.path("sequence").asLong(),
                  new RecordBody.UnknownRecord(kind, required)));
    } catch (JsonProcessingException | RuntimeException e) {
      return new Decoded.Malformed<>(ErrorMessages.firstLine(e));
    }
  }
}
