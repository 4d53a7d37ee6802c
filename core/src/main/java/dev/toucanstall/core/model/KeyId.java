package dev.toucanstall.core.model;

/**
 * Name of a key of a team. Immutable. The secret itself is never stored.
 *
 * @param value text of the name
 */
public record KeyId(String value) implements Id, Comparable<KeyId> {

  /**
   * Creates the identifier.
   *
   * @throws IllegalArgumentException if the name is malformed
   */
  public KeyId {
    Names.requireName("key", value);
  }

  @Override
  public int compareTo(KeyId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
