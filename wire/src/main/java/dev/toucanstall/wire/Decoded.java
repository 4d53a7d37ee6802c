package dev.toucanstall.wire;

import java.util.function.Function;

/**
 * The result of decoding bytes from outside.
 *
 * @param <T> what was to be decoded
 */
public sealed interface Decoded<T> {

  /**
   * The bytes were well-formed.
   *
   * @param <T> what was decoded
   * @param value the value
   */
  record Value<T>(T value) implements Decoded<T> {}

  /**
   * The bytes were malformed.
   *
   * @param <T> what was to be decoded
   * @param reason one sentence
   */
  record Malformed<T>(String reason) implements Decoded<T> {}

  /**
   * Returns the value, or what a function makes of the reason why there is none.
   *
   * @param absent the function
   * @return the value
   */
  default T orElse(Function<String, T> absent) {
    return switch (this) {
      case Value<T> decoded -> decoded.value();
      case Malformed<T> malformed -> absent.apply(malformed.reason());
    };
  }
}
