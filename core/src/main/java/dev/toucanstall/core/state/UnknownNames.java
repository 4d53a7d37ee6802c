package dev.toucanstall.core.state;

import dev.toucanstall.core.model.Names;
import dev.toucanstall.core.model.TeamId;
import java.util.Comparator;
import java.util.Map;
import java.util.Objects;
import org.pcollections.HashPMap;
import org.pcollections.HashTreePMap;

/**
 * Names that callers asked for and no setting knows, in bounded memory.
 *
 * @param occurrences the names with how often and when they were asked for
 */
public record UnknownNames(HashPMap<RequestedName, Occurrences> occurrences) {

  /** Most names kept for one team; the one least recently asked for makes room. */
  public static final int MAX_PER_TEAM = 50;

  /** No names. */
  public static final UnknownNames EMPTY = new UnknownNames(HashTreePMap.empty());

  /**
   * A name that a team's caller asked for.
   *
   * @param team the team
   * @param name the name, shortened
   */
  public record RequestedName(TeamId team, String name) {}

  /**
   * How often and when a name was asked for.
   *
   * @param count how often
   * @param firstAt when first
   * @param lastAt when last
   */
  public record Occurrences(long count, long firstAt, long lastAt) {}

  /**
   * Returns the names with one asked for.
   *
   * @param team the team
   * @param name the name, any text
   * @param at when
   * @return the new names
   */
  public UnknownNames plus(TeamId team, String name, long at) {
    RequestedName asked = new RequestedName(team, Names.abbreviate(name));
    Occurrences before =
        Objects.requireNonNullElse(occurrences.get(asked), new Occurrences(0, at, at));
    HashPMap<RequestedName, Occurrences> next =
        occurrences.plus(asked, new Occurrences(before.count() + 1, before.firstAt(), at));
    long ofTeam = next.keySet().stream().filter(a -> a.team().equals(team)).count();
    return new UnknownNames(ofTeam > MAX_PER_TEAM ? next.minus(leastRecent(next, team)) : next);
  }

  private static RequestedName leastRecent(
      HashPMap<RequestedName, Occurrences> names, TeamId team) {
    return names.entrySet().stream()
        .filter(entry -> entry.getKey().team().equals(team))
        .min(
            Comparator.comparingLong(
                    (Map.Entry<RequestedName, Occurrences> e) -> e.getValue().lastAt())
                .thenComparing(e -> e.getKey().name()))
        .orElseThrow()
        .getKey();
  }
}
