package dev.toucanstall.core.model;

/**
 * Name of a pool of instances. Immutable.
 *
 * @param value text of the name
 */
public record PoolId(String value) implements Id, Comparable<PoolId> {

  /**
   * Creates the identifier.
   *
   * @throws IllegalArgumentException if the name is malformed
   */
  public PoolId {
    Names.requireName("pool", value);
  }

  @Override
  public int compareTo(PoolId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
