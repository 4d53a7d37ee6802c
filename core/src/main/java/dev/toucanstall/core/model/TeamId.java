package dev.toucanstall.core.model;

/**
 * Name of a team, which owns keys, a share and a limit. Immutable.
 *
 * @param value text of the name
 */
public record TeamId(String value) implements Id, Comparable<TeamId> {

  /**
   * Creates the identifier.
   *
   * @throws IllegalArgumentException if the name is malformed
   */
  public TeamId {
    Names.requireName("team", value);
  }

  @Override
  public int compareTo(TeamId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
