package dev.toucanstall.core.model;

/**
 * Name of an instance that runs a backend server. Immutable.
 *
 * @param value text of the name
 */
public record InstanceId(String value) implements Id, Comparable<InstanceId> {

  /**
   * Creates the identifier.
   *
   * @throws IllegalArgumentException if the name is malformed
   */
  public InstanceId {
    Names.requireName("instance", value);
  }

  @Override
  public int compareTo(InstanceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
