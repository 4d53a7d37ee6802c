package dev.toucanstall.core.model;

/**
 * Name of a failure domain: a group of instances that may fail together, such as a rack. Immutable.
 *
 * @param value text of the name
 */
public record DomainId(String value) implements Id, Comparable<DomainId> {

  /**
   * Creates the identifier.
   *
   * @throws IllegalArgumentException if the name is malformed
   */
  public DomainId {
    Names.requireName("failure domain", value);
  }

  @Override
  public int compareTo(DomainId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
