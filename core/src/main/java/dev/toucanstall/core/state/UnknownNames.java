package dev.toucanstall.core.state;

import dev.toucanstall.core.model.Names;
import dev.toucanstall.core.model.TeamId;
import java.util.Comparator;
import java.util.Map;
import java.util.Objects;
import org.pcollections.HashPMap;
import org.pcollections.HashTreePMap;

/**
 * Requested names that match no service or alias, in bounded memory. Immutable.
 *
 * @param seen occurrences by name
 */
public record UnknownNames(HashPMap<Asked, Seen> seen) {

  /** Maximum number of names of one team; beyond it the least recently requested is dropped. */
  public static final int MAX_PER_TEAM = 50;

  /** Set without names. */
  public static final UnknownNames EMPTY = new UnknownNames(HashTreePMap.empty());

  /**
   * A name that a caller of a team requested.
   *
   * @param team the team
   * @param name the name, shortened by {@link Names#shorten}
   */
  public record Asked(TeamId team, String name) {}

  /**
   * Occurrences of a name. Times are in nanoseconds of the monotonic clock.
   *
   * @param count number of requests
   * @param first time of the first request
   * @param last time of the last request
   */
  public record Seen(long count, long first, long last) {}

  /**
   * Returns a copy with one more request for a name.
   *
   * @param team team of the caller
   * @param name the name, any text
   * @param at time of the request, in nanoseconds of the monotonic clock
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
