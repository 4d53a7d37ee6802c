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
 * The text of a record in the log. Stateless and thread-safe.
 *
 * <p>A record of a kind that this version does not know is decoded as {@link
 * RecordBody.UnknownRecord}, so that replicas of several versions fold the same log; its writer
 * says by {@code "required"} whether older replicas must stop.
 */
public final class RecordCodec {

  private static final ObjectMapper MAPPER = Mappers.forJson();
  private static final JsonCodec<Line> CODEC = JsonCodec.of(Line.class);
  private static final Producer NOBODY = new Producer("malformed", 0);
  private static final Set<String> KINDS =
      Arrays.stream(RecordBody.class.getPermittedSubclasses())
          .map(Mappers::kindOf)
          .collect(Collectors.toUnmodifiableSet());

  private RecordCodec() {}

  /**
   * A record as written.
   *
   * @param producer who writes it
   * @param sequence the producer's number of it
   * @param body what it says
   */
  public record Line(Producer producer, long sequence, RecordBody body) {

    /**
     * Creates the line.
     *
     * @throws IllegalArgumentException if a part is missing
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
   * @return its text
   */
  public static String encode(Line line) {
    return CODEC.encode(line);
  }

  /**
   * Decodes a record that was read at an offset.
   *
   * @param offset the offset
   * @param text the text
   * @return the record, an unknown one if the text is malformed or of an unknown kind
   */
  public static LogEntry decode(long offset, String text) {
    return switch (decodeKnown(text)) {
      case Decoded.Value<Line> line ->
          new LogEntry(
              offset, line.value().producer(), line.value().sequence(), line.value().body());
      case Decoded.Malformed<Line> malformed ->
          new LogEntry(offset, NOBODY, offset, new RecordBody.UnknownRecord("malformed", false));
    };
  }

  private static Decoded<Line> decodeKnown(String text) {
    try {
      JsonNode tree = MAPPER.readTree(text);
      String kind = tree == null ? "" : tree.path("body").path("kind").asText();
      if (tree == null || kind.isEmpty() || KINDS.contains(kind)) {
        return CODEC.decode(text);
      }
      Producer producer = MAPPER.treeToValue(tree.path("producer"), Producer.class);
      boolean required = tree.path("body").path("required").asBoolean(false);
      return producer == null
          ? new Decoded.Malformed<>("producer is missing")
          : new Decoded.Value<>(
              new Line(
                  producer,
                  tree.path("sequence").asLong(),
                  new RecordBody.UnknownRecord(kind, required)));
    } catch (JsonProcessingException | RuntimeException e) {
      return new Decoded.Malformed<>(Messages.firstLine(e));
    }
  }
}
