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
 * @param occurrences occurrences by name
 */
public record UnknownNames(HashPMap<RequestedName, Occurrences> occurrences) {

  /** Maximum number of names of one team; beyond it the least recently requested is dropped. */
  public static final int MAX_PER_TEAM = 50;

  /** Set without names. */
  public static final UnknownNames EMPTY = new UnknownNames(HashTreePMap.empty());

  /**
   * A name that a caller of a team requested.
   *
   * @param team the team
   * @param name the name, shortened by {@link Names#abbreviate}
   */
  public record RequestedName(TeamId team, String name) {}

  /**
   * Occurrences of a name. Times are in nanoseconds of the monotonic clock.
   *
   * @param count number of requests
   * @param firstAt time of the first request
   * @param lastAt time of the last request
   */
  public record Occurrences(long count, long firstAt, long lastAt) {}

  /**
   * Returns a copy with one more request for a name.
   *
   * @param team team of the caller
   * @param name the name, any text
   * @param now time of the request, in nanoseconds of the monotonic clock
   * @return the new names
   */
  public UnknownNames plus(TeamId team, String name, long now) {
    RequestedName requestedName = new RequestedName(team, Names.abbreviate(name));
    Occurrences previous =
        Objects.requireNonNullElse(occurrences.get(requestedName), new Occurrences(0, now, now));
    HashPMap<RequestedName, Occurrences> next =
        occurrences.plus(
            requestedName, new Occurrences(previous.count() + 1, previous.firstAt(), now));
    long teamCount = next.keySet().stream().filter(a -> a.team().equals(team)).count();
    return new UnknownNames(teamCount > MAX_PER_TEAM ? next.minus(leastRecent(next, team)) : next);
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
