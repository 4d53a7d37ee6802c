package dev.toucanstall.core.settings;

import dev.toucanstall.core.model.ServiceId;
import dev.toucanstall.core.model.TeamId;
import org.pcollections.PMap;

/**
 * A team's standing.
 *
 * @param id the team
 * @param share its weight when everything is full, at least 1
 * @param limit the most of its requests that run at once across the fleet
 * @param aliases services by the names that its callers use
 * @param objective what its service level is measured against
 */
public record Team(
    TeamId id, int share, int limit, PMap<String, ServiceId> aliases, Objective objective) {

  /** The team of work that comes without a key to services open to all. */
  public static final TeamId ANONYMOUS = new TeamId("anonymous");

  /** The share of a team without a setting. */
  public static final int DEFAULT_SHARE = 1;

  /** The limit of a team without a setting: nothing runs. */
  public static final int DEFAULT_LIMIT = 0;
}
