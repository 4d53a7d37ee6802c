package dev.toucanstall.core.settings;

import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.model.KeyDigest;
import dev.toucanstall.core.model.Names;
import dev.toucanstall.core.model.PoolId;
import dev.toucanstall.core.model.ServiceId;
import dev.toucanstall.core.model.TeamId;
import dev.toucanstall.core.model.WaveId;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.pcollections.HashPMap;
import org.pcollections.HashTreePMap;
import org.pcollections.TreePMap;

/**
 * The typed view of the operators' tree. Immutable; derived from the tree alone by {@link
 * SettingsReader}.
 *
 * @param teams the teams
 * @param services the services
 * @param pools the pools
 * @param waves the waves
 * @param keys the keys in force, by digest
 * @param placements the pool that each instance is to be in
 */
public record Settings(
    TreePMap<TeamId, Team> teams,
    TreePMap<ServiceId, Service> services,
    TreePMap<PoolId, Pool> pools,
    TreePMap<WaveId, Wave> waves,
    HashPMap<KeyDigest, KeyGrant> keys,
    TreePMap<InstanceId, PoolId> placements) {

  /** Settings with nothing in them. */
  public static final Settings EMPTY =
      new Settings(
          TreePMap.empty(),
          TreePMap.empty(),
          TreePMap.empty(),
          TreePMap.empty(),
          HashTreePMap.empty(),
          TreePMap.empty());

  /**
   * Resolves the name that a team's caller asked for: an alias of the team first, then a service.
   *
   * @param team the team
   * @param name the name, any text
   * @return the service, or empty if no setting knows the name
   */
  public Optional<Service> resolve(TeamId team, String name) {
    Team known = teams.get(team);
    ServiceId alias = known == null ? null : known.aliases().get(name);
    if (alias != null) {
      return Optional.ofNullable(services.get(alias));
    }
    return Names.isName(name)
        ? Optional.ofNullable(services.get(new ServiceId(name)))
        : Optional.empty();
  }

  /**
   * Returns a team's share.
   *
   * @param team the team, need not be known
   * @return its weight, at least 1
   */
  public int share(TeamId team) {
    Team known = teams.get(team);
    return known == null ? Team.DEFAULT_SHARE : known.share();
  }

  /**
   * Returns a team's upper limit.
   *
   * @param team the team, need not be known
   * @return the limit, 0 for a team that no setting knows
   */
  public int limit(TeamId team) {
    Team known = teams.get(team);
    return known == null ? Team.DEFAULT_LIMIT : known.limit();
  }

  /**
   * Returns a team's objective.
   *
   * @param team the team, need not be known
   * @return what its service level is measured against
   */
  public Objective objective(TeamId team) {
    Team known = teams.get(team);
    return known == null ? Objective.DEFAULT : known.objective();
  }

  /**
   * Lists references to services and pools that do not exist.
   *
   * @return one sentence for each, empty if all exist
   */
  public List<String> danglingReferences() {
    Stream<String> ofServices =
        services.values().stream()
            .filter(service -> !pools.containsKey(service.pool()))
            .map(service -> missingPool(service.pool(), "/services/%s/pool", service.id().value()));
    Stream<String> ofWaves =
        waves.values().stream()
            .filter(wave -> !pools.containsKey(wave.pool()))
            .map(wave -> missingPool(wave.pool(), "/waves/%s/pool", wave.id().value()));
    Stream<String> ofInstances =
        placements.entrySet().stream()
            .filter(placement -> !pools.containsKey(placement.getValue()))
            .map(
                placement ->
                    missingPool(
                        placement.getValue(), "/instances/%s/pool", placement.getKey().value()));
    Stream<String> ofAliases = teams.values().stream().flatMap(this::danglingAliases);
    return Stream.of(ofServices, ofWaves, ofInstances, ofAliases).flatMap(s -> s).toList();
  }

  private Stream<String> danglingAliases(Team team) {
    return team.aliases().values().stream()
        .filter(service -> !services.containsKey(service))
        .map(
            service ->
                "service \"%s\" does not exist, named by /teams/%s/aliases"
                    .formatted(service, team.id()));
  }

  private static String missingPool(PoolId pool, String pattern, String name) {
    return "pool \"%s\" does not exist, named by %s".formatted(pool, pattern.formatted(name));
  }
}
