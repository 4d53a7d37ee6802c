package dev.toucanstall.core.model;

/**
 * Names a service that callers ask for.
 *
 * @param value the name
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
