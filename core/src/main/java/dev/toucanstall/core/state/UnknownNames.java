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
 * @param seen the names with how often and when they were asked for
 */
public record UnknownNames(HashPMap<Asked, Seen> seen) {

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
  public record Asked(TeamId team, String name) {}

  /**
   * How often and when a name was asked for.
   *
   * @param count how often
   * @param first when first
   * @param last when last
   */
  public record Seen(long count, long first, long last) {}

  /**
   * Returns the names with one asked for.
   *
   * @param team the team
   * @param name the name, any text
   * @param at when
   * @return the new names
   */
  public UnknownNames plus(TeamId team, String name, long at) {
    Asked asked = new Asked(team, Names.shorten(name));
    Seen before = Objects.requireNonNullElse(seen.get(asked), new Seen(0, at, at));
    HashPMap<Asked, Seen> next = seen.plus(asked, new Seen(before.count() + 1, before.first(), at));
    long ofTeam = next.keySet().stream().filter(a -> a.team().equals(team)).count();
    return new UnknownNames(ofTeam > MAX_PER_TEAM ? next.minus(leastRecent(next, team)) : next);
  }

  private static Asked leastRecent(HashPMap<Asked, Seen> names, TeamId team) {
    return names.entrySet().stream()
        .filter(entry -> entry.getKey().team().equals(team))
        .min(
            Comparator.comparingLong((Map.Entry<Asked, Seen> e) -> e.getValue().last())
                .thenComparing(e -> e.getKey().name()))
        .orElseThrow()
        .getKey();
  }
}
