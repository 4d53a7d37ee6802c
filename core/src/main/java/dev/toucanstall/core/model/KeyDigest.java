package dev.toucanstall.core.model;

import java.util.regex.Pattern;

/**
 * SHA-256 digest of a key. Immutable. {@link #toString} returns only the first 8 digits.
 *
 * @param value 64 lower-case hexadecimal digits
 */
public record KeyDigest(String value) implements Id {

  private static final Pattern HEX = Pattern.compile("[0-9a-f]{64}");

  /**
   * Creates the digest.
   *
   * @throws IllegalArgumentException if the value is not 64 lower-case hexadecimal digits
   */
  public KeyDigest {
    if (!HEX.matcher(value).matches()) {
      throw new IllegalArgumentException("key digest does not have 64 hexadecimal digits");
    }
  }

  @Override
  public String toString() {
    return value.substring(0, 8);
  }
}
