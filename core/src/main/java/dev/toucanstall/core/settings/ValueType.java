package dev.toucanstall.core.settings;

import dev.toucanstall.core.model.KeyDigest;
import dev.toucanstall.core.model.Names;
import java.util.List;
import java.util.Optional;

/**
 * Type of a value, which validates the text of the value. Implementations are stateless lambdas.
 */
@FunctionalInterface
interface ValueType {

  /**
   * Validates a value.
   *
   * @param text the value
   * @return description of the valid values, empty if the value is valid
   */
  Optional<String> validationError(String text);

  /** Returns the type of whole numbers from {@code least} to {@code most}, both inclusive. */
  static ValueType wholeNumber(long least, long most) {
    return text -> {
      try {
        long number = Long.parseLong(text);
        return number >= least && number <= most
            ? Optional.empty()
            : Optional.of("a whole number in %d..%d".formatted(least, most));
      } catch (NumberFormatException e) {
        return Optional.of("a whole number in %d..%d".formatted(least, most));
      }
    };
  }

  /** Returns the type of names that {@link Names#isName} accepts. */
  static ValueType name() {
    return text -> Names.isName(text) ? Optional.empty() : Optional.of("a name");
  }

  static ValueType oneOf(String... words) {
    List<String> all = List.of(words);
    return text -> all.contains(text) ? Optional.empty() : Optional.of("one of " + all);
  }

  static ValueType digest() {
    return text -> {
      try {
        return new KeyDigest(text).value().isEmpty() ? Optional.of("a digest") : Optional.empty();
      } catch (IllegalArgumentException e) {
        return Optional.of("a SHA-256 digest in 64 hexadecimal digits");
      }
    };
  }
}
