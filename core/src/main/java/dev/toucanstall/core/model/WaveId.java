package dev.toucanstall.core.model;

/**
 * Name of a maintenance wave. Immutable.
 *
 * @param value text of the name
 */
public record WaveId(String value) implements Id, Comparable<WaveId> {

  /**
   * Creates the identifier.
   *
   * @throws IllegalArgumentException if the name is malformed
   */
  public WaveId {
    Names.requireName("wave", value);
  }

  @Override
  public int compareTo(WaveId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
