package dev.toucanstall.wire;

import java.util.function.Function;

/**
 * The result of decoding untrusted input: a value or the reason why the input is malformed.
 *
 * @param <T> the type of the value
 */
public sealed interface Decoded<T> {

  /**
   * The input was well-formed.
   *
   * @param <T> the type of the value
   * @param value the decoded value
   */
  record Value<T>(T value) implements Decoded<T> {}

  /**
   * The input was malformed.
   *
   * @param <T> the type of the value
   * @param reason description of the error, one line
   */
  record Malformed<T>(String reason) implements Decoded<T> {}

  /**
   * Returns the decoded value, or the result of a fallback if the input was malformed.
   *
   * @param fallback function from the reason to a substitute value
   * @return the decoded value or the substitute
   */
  default T orElse(Function<String, T> fallback) {
    return switch (this) {
      case Value<T> decoded -> decoded.value();
      case Malformed<T> malformed -> fallback.apply(malformed.reason());
    };
  }
}
