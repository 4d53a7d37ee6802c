package dev.toucanstall.core.settings;

import dev.toucanstall.core.model.ServiceId;
import dev.toucanstall.core.model.TeamId;
import org.pcollections.PMap;

/**
 * Settings of a team. Immutable.
 *
 * @param id name of the team
 * @param share weight of the team, relative to other teams, when a pool is full; at least 1
 * @param limit maximum number of running requests of the team across the fleet
 * @param aliases services by the names that callers of the team use
 * @param objective service-level objective
 */
public record Team(
    TeamId id, int share, int limit, PMap<String, ServiceId> aliases, Objective objective) {

  /** Team of requests without a key, which only open services accept. */
  public static final TeamId ANONYMOUS = new TeamId("anonymous");

  /** Share of a team for which the settings give none. */
  public static final int DEFAULT_SHARE = 1;

  /** Limit of a team for which the settings give none: no request runs. */
  public static final int DEFAULT_LIMIT = 0;
}
