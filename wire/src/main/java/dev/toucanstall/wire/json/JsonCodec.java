package dev.toucanstall.wire.json;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectWriter;
import dev.toucanstall.wire.Decoded;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * Encodes and decodes values of one type as JSON. Thread-safe.
 *
 * @param <T> the type of the values
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
   * Creates a codec.
   *
   * @param type the type of the values; those of a sealed interface are written with their kind
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
   * @throws UncheckedIOException if the value cannot be written as JSON
   */
  public String encode(T value) {
    try {
      return writer.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(
          "value of type %s cannot be encoded".formatted(type.getSimpleName()), e);
    }
  }

  /**
   * Decodes an untrusted text.
   *
   * @param text the JSON text
   * @return the value, or the reason why the text is malformed
   */
  public Decoded<T> decode(String text) {
    try {
      T value = mapper.readValue(text, type);
      return value == null
          ? new Decoded.Malformed<>("the text holds null")
          : new Decoded.Value<>(value);
    } catch (IOException | RuntimeException e) {
      return new Decoded.Malformed<>(ErrorMessages.firstLine(e));
    }
  }
}
