package dev.toucanstall.core.model;

/**
 * Names a pool of instances.
 *
 * @param value the name
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
