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
 * Typed view of the tree of settings. Immutable; derived from the tree alone by {@link
 * SettingsReader}.
 *
 * @param teams teams by name
 * @param services services by name
 * @param pools pools by name
 * @param waves maintenance waves by name
 * @param keys keys in force, by digest
 * @param placements pool to which each instance is assigned, by name of the instance
 */
public record Settings(
    TreePMap<TeamId, Team> teams,
    TreePMap<ServiceId, Service> services,
    TreePMap<PoolId, Pool> pools,
    TreePMap<WaveId, Wave> waves,
    HashPMap<KeyDigest, KeyGrant> keys,
    TreePMap<InstanceId, PoolId> placements) {

  /** Settings of an empty tree. */
  public static final Settings EMPTY =
      new Settings(
          TreePMap.empty(),
          TreePMap.empty(),
          TreePMap.empty(),
          TreePMap.empty(),
          HashTreePMap.empty(),
          TreePMap.empty());

  /**
   * Resolves a name that a caller requested: an alias of the team goes before a service of that
   * name.
   *
   * @param team team of the caller, need not exist
   * @param name the name, any text
   * @return the service, empty if neither an alias nor a service matches
   */
  public Optional<Service> resolve(TeamId team, String name) {
    Team existing = teams.get(team);
    ServiceId alias = existing == null ? null : existing.aliases().get(name);
    if (alias != null) {
      return Optional.ofNullable(services.get(alias));
    }
    return Names.isName(name)
        ? Optional.ofNullable(services.get(new ServiceId(name)))
        : Optional.empty();
  }

  /**
   * Returns the share of a team.
   *
   * @param team the team, need not exist
   * @return weight of the team when a pool is full, at least 1
   */
  public int share(TeamId team) {
    Team existing = teams.get(team);
    return existing == null ? Team.DEFAULT_SHARE : existing.share();
  }

  /**
   * Returns the limit of a team.
   *
   * @param team the team, need not exist
   * @return maximum number of running requests across the fleet, 0 for a team that does not exist
   */
  public int limit(TeamId team) {
    Team existing = teams.get(team);
    return existing == null ? Team.DEFAULT_LIMIT : existing.limit();
  }

  /**
   * Returns the objective of a team.
   *
   * @param team the team, need not exist
   * @return the objective, {@link Objective#DEFAULT} for a team that does not exist
   */
  public Objective objective(TeamId team) {
    Team existing = teams.get(team);
    return existing == null ? Objective.DEFAULT : existing.objective();
  }

  /**
   * Returns the references to services and pools that do not exist.
   *
   * @return one sentence for each, empty if there are none
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
