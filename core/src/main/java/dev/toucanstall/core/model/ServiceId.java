package dev.toucanstall.core.model;

/**
 * Name of a service that callers request. Immutable.
 *
 * @param value text of the name
 */
public record ServiceId(String value) implements Id, Comparable<ServiceId> {

  /**
   * Creates the identifier.
   *
   * @throws IllegalArgumentException if the name is malformed
   */
  public ServiceId {
    Names.requireName("service", value);
  }

  @Override
  public int compareTo(ServiceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
