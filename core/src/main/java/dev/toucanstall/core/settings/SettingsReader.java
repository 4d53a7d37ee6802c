package dev.toucanstall.core.settings;

import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.model.KeyDigest;
import dev.toucanstall.core.model.KeyId;
import dev.toucanstall.core.model.PoolId;
import dev.toucanstall.core.model.ServiceId;
import dev.toucanstall.core.model.TeamId;
import dev.toucanstall.core.model.WaveId;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.pcollections.HashPMap;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePMap;

/** Derives the typed settings from the tree. Stateless and thread-safe. */
public final class SettingsReader {

  private static final String NO_POOL = "none";

  private SettingsReader() {}

  /**
   * Derives the settings from the whole tree. Absent values get their defaults.
   *
   * @param tree the tree, of which every value is valid by {@link Schema}
   * @return the settings
   */
  public static Settings read(SettingsTree tree) {
    Map<String, Map<String, Fields>> fieldsByKind = group(tree);
    TreePMap<TeamId, Team> teams = TreePMap.empty();
    HashPMap<KeyDigest, KeyGrant> keys = HashTreePMap.empty();
    for (var entry : fieldsByKind.getOrDefault("teams", Map.of()).entrySet()) {
      Team team = team(new TeamId(entry.getKey()), entry.getValue());
      teams = teams.plus(team.id(), team);
      keys = keys.plusAll(keys(team.id(), entry.getValue()));
    }
    TreePMap<ServiceId, Service> services = TreePMap.empty();
    for (var entry : fieldsByKind.getOrDefault("services", Map.of()).entrySet()) {
      Service service = service(new ServiceId(entry.getKey()), entry.getValue());
      services = services.plus(service.id(), service);
    }
    TreePMap<PoolId, Pool> pools = TreePMap.empty();
    for (var entry : fieldsByKind.getOrDefault("pools", Map.of()).entrySet()) {
      Pool pool = pool(new PoolId(entry.getKey()), entry.getValue());
      pools = pools.plus(pool.id(), pool);
    }
    TreePMap<WaveId, Wave> waves = TreePMap.empty();
    for (var entry : fieldsByKind.getOrDefault("waves", Map.of()).entrySet()) {
      Wave wave = wave(new WaveId(entry.getKey()), entry.getValue());
      waves = waves.plus(wave.id(), wave);
    }
    TreePMap<InstanceId, PoolId> placements = TreePMap.empty();
    for (var entry : fieldsByKind.getOrDefault("instances", Map.of()).entrySet()) {
      PoolId pool = new PoolId(entry.getValue().text("pool", NO_POOL));
      placements = placements.plus(new InstanceId(entry.getKey()), pool);
    }
    return new Settings(teams, services, pools, waves, keys, placements);
  }

  private static Map<String, Map<String, Fields>> group(SettingsTree tree) {
    Map<String, Map<String, Fields>> fieldsByKind = new TreeMap<>();
    tree.leaves().forEach((text, leaf) -> group(fieldsByKind, text, leaf.value()));
    return fieldsByKind;
  }

  private static void group(
      Map<String, Map<String, Fields>> fieldsByKind, String path, String value) {
    var segments = SettingsPath.parse(path).segments();
    String field = String.join("/", segments.subList(2, segments.size()));
    Map<String, Fields> kind = fieldsByKind.computeIfAbsent(segments.get(0), k -> new TreeMap<>());
    Fields fields = kind.computeIfAbsent(segments.get(1), name -> new Fields(new TreeMap<>()));
    fields.values.put(field, value);
  }

  private static Team team(TeamId id, Fields fields) {
    PMap<String, ServiceId> aliases =
        HashTreePMap.from(
            fields.withPrefix("aliases/").entrySet().stream()
                .collect(Collectors.toMap(Map.Entry::getKey, e -> new ServiceId(e.getValue()))));
    Objective objective =
        new Objective(
            fields.number("objective/start-ms", Objective.DEFAULT.startMillis()),
            fields.number("objective/success-ppm", Objective.DEFAULT.successPartsPerMillion()));
    return new Team(
        id,
        (int) fields.number("share", Team.DEFAULT_SHARE),
        (int) fields.number("limit", Team.DEFAULT_LIMIT),
        aliases,
        objective);
  }

  private static Map<KeyDigest, KeyGrant> keys(TeamId team, Fields fields) {
    return fields.withPrefix("keys/").entrySet().stream()
        .collect(
            Collectors.toMap(
                e -> new KeyDigest(e.getValue()),
                e -> new KeyGrant(team, new KeyId(e.getKey())),
                (first, second) -> first));
  }

  private static Service service(ServiceId id, Fields fields) {
    return new Service(
        id,
        new PoolId(fields.text("pool", NO_POOL)),
        fields.flag("open"),
        (int) fields.number("queue-limit", Service.DEFAULT_QUEUE_LIMIT));
  }

  private static Pool pool(PoolId id, Fields fields) {
    return new Pool(
        id,
        (int) fields.number("max-unavailable", Pool.DEFAULT_MAX_UNAVAILABLE),
        (int) fields.number("max-unavailable-domains", Pool.DEFAULT_MAX_DOMAINS),
        fields.flag("spare"),
        fields.flag("autoscale"));
  }

  private static Wave wave(WaveId id, Fields fields) {
    return new Wave(
        id,
        new PoolId(fields.text("pool", NO_POOL)),
        fields.text("state", "paused").equals("running"),
        (int) fields.number("parallel", 1));
  }

  private record Fields(TreeMap<String, String> values) {

    String text(String field, String defaultValue) {
      return values.getOrDefault(field, defaultValue);
    }

    long number(String field, long defaultValue) {
      String text = values.get(field);
      return text == null ? defaultValue : Long.parseLong(text);
    }

    boolean flag(String field) {
      return "true".equals(values.get(field));
    }

    Map<String, String> withPrefix(String prefix) {
      return values.subMap(prefix, prefix + Character.MAX_VALUE).entrySet().stream()
          .collect(
              Collectors.toMap(e -> e.getKey().substring(prefix.length()), Map.Entry::getValue));
    }
  }
}
