package dev.toucanstall.wire.json;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectWriter;
import dev.toucanstall.wire.Decoded;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * Writes and reads values of one type as JSON. Thread-safe.
 *
 * @param <T> the type
 */
public final class JsonCodec<T> {

  private final Class<T> type;
  private final ObjectMapper mapper = Mappers.forJson();
  private final ObjectWriter writer;

  private JsonCodec(Class<T> type) {
    this.type = type;
    this.writer = mapper.writerFor(type);
  }

  /**
   * Makes the codec of a type.
   *
   * @param type the type; a sealed interface is written with its kind
   * @return the codec
   */
  public static <T> JsonCodec<T> of(Class<T> type) {
    return new JsonCodec<>(type);
  }

  /**
   * Encodes a value.
   *
   * @param value the value
   * @return the JSON text
   */
  public String encode(T value) {
    try {
      return writer.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException("%s has no encoding".formatted(type.getSimpleName()), e);
    }
  }

  /**
   * Decodes a text from outside.
   *
   * @param text the text
   * @return the value, or why the text is malformed
   */
  public Decoded<T> decode(String text) {
    try {
      T value = mapper.readValue(text, type);
      return value == null
          ? new Decoded.Malformed<>("the text holds null")
          : new Decoded.Value<>(value);
    } catch (IOException | RuntimeException e) {
      return new Decoded.Malformed<>(Messages.firstLine(e));
    }
  }
}
