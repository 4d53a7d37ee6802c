package dev.toucanstall.core.model;

/**
 * Name of an entry instance as a member. Immutable.
 *
 * @param value text of the name
 */
public record MemberId(String value) implements Id, Comparable<MemberId> {

  /**
   * Creates the identifier.
   *
   * @throws IllegalArgumentException if the name is malformed
   */
  public MemberId {
    Names.requireName("member", value);
  }

  @Override
  public int compareTo(MemberId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
