package dev.toucanstall.core.settings;

import dev.toucanstall.core.model.Names;
import java.util.List;
import java.util.Optional;

/**
 * The schema of the operators' tree: which paths exist and what values they take. Stateless and
 * thread-safe. The command line and the fold use the same schema.
 */
public final class Schema {

  private static final String ANY = "*";
  private static final long MAX_MILLIS = 7L * 24 * 3600 * 1000;
  private static final long MILLION = 1_000_000;

  private static final List<Rule> RULES =
      List.of(
          rule("/teams/*/share", "weight when everything is full", number(1, 1_000)),
          rule("/teams/*/limit", "most requests running at once", number(0, 100_000)),
          rule("/teams/*/keys/*", "SHA-256 digest of a key", ValueType.digest()),
          rule("/teams/*/aliases/*", "service that a name stands for", ValueType.name()),
          rule("/teams/*/objective/start-ms", "start within", number(1, MAX_MILLIS)),
          rule("/teams/*/objective/success-ppm", "share that succeeds", number(1, MILLION)),
          rule("/services/*/pool", "pool that runs the service", ValueType.name()),
          rule("/services/*/open", "takes work without a key", ValueType.oneOf("true", "false")),
          rule("/services/*/queue-limit", "most waiting per team", number(0, 100_000)),
          rule("/pools/*/max-unavailable", "availability budget", number(0, 10_000)),
          rule("/pools/*/max-unavailable-domains", "domains touched", number(1, 10_000)),
          rule("/pools/*/spare", "lends instances to others", ValueType.oneOf("true", "false")),
          rule("/pools/*/autoscale", "moves by need", ValueType.oneOf("true", "false")),
          rule("/instances/*/pool", "pool the instance is to be in", ValueType.name()),
          rule("/waves/*/pool", "pool that the wave visits", ValueType.name()),
          rule("/waves/*/state", "whether it goes on", ValueType.oneOf("running", "paused")),
          rule("/waves/*/parallel", "most drained at once", number(1, 1_000)));

  private Schema() {}

  /**
   * Says what is wrong with an assignment.
   *
   * @param assignment the assignment; a removal may name any path on or above a rule's path
   * @return a sentence, or empty if the assignment is right
   */
  public static Optional<String> validationError(Assignment assignment) {
    SettingsPath path;
    try {
      path = SettingsPath.parse(assignment.path());
    } catch (IllegalArgumentException e) {
      return Optional.of(String.valueOf(e.getMessage()));
    }
    String value = assignment.value();
    if (value == null) {
      return RULES.stream().anyMatch(rule -> rule.isAtOrBelow(path))
          ? Optional.empty()
          : Optional.of("path \"%s\" does not exist in the schema".formatted(path));
    }
    return RULES.stream()
        .filter(rule -> rule.matches(path))
        .findFirst()
        .map(rule -> rule.problem(path, value))
        .orElseGet(() -> Optional.of("path \"%s\" does not exist in the schema".formatted(path)));
  }

  /**
   * Lists the paths of the schema with what each means.
   *
   * @return one line for each rule
   */
  public static List<String> describe() {
    return RULES.stream().map(rule -> "%-34s %s".formatted(rule.pattern, rule.meaning)).toList();
  }

  private static Rule rule(String pattern, String meaning, ValueType type) {
    return new Rule(pattern, List.of(pattern.substring(1).split("/", -1)), meaning, type);
  }

  private static ValueType number(long least, long most) {
    return ValueType.wholeNumber(least, most);
  }

  private record Rule(String pattern, List<String> segments, String meaning, ValueType type) {

    boolean matches(SettingsPath path) {
      return path.segments().size() == segments.size() && isAtOrBelow(path);
    }

    boolean isAtOrBelow(SettingsPath path) {
      if (path.segments().size() > segments.size()) {
        return false;
      }
      for (int i = 0; i < path.segments().size(); i++) {
        String expected = segments.get(i);
        if (!expected.equals(ANY) && !expected.equals(path.segments().get(i))) {
          return false;
        }
      }
      return true;
    }

    Optional<String> problem(SettingsPath path, String value) {
      return type.problem(value)
          .map(
              expected ->
                  "value \"%s\" of \"%s\" is not %s"
                      .formatted(Names.abbreviate(value), path, expected));
    }
  }
}
