package dev.toucanstall.cli.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import dev.toucanstall.core.settings.Assignment;
import dev.toucanstall.core.settings.SettingsPath;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/** Settings files in YAML, whose nested names form the paths of settings. Stateless. */
final class SettingsFile {

  private static final YAMLMapper YAML = new YAMLMapper();

  private SettingsFile() {}

  /**
   * Parses the text of a file into values by path; fails if there are no values or there is a list.
   */
  static SortedMap<String, String> read(String text) {
    SortedMap<String, String> values = new TreeMap<>();
    try {
      JsonNode root = YAML.readTree(text);
      if (root != null) {
        collectValues("", root, values);
      }
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(
          "line %d: the file is not YAML"
              .formatted(e.getLocation() == null ? 0 : e.getLocation().getLineNr()),
          e);
    }
    if (values.isEmpty()) {
      throw new IllegalArgumentException("the file holds no settings");
    }
    return values;
  }

  private static void collectValues(String path, JsonNode node, Map<String, String> values) {
    if (node.isObject()) {
      node.properties()
          .forEach(field -> collectValues(path + "/" + field.getKey(), field.getValue(), values));
    } else if (node.isValueNode()) {
      values.put(path, node.asText());
    } else {
      throw new IllegalArgumentException("path \"%s\" holds a list".formatted(path));
    }
  }

  /** Returns the deepest subtree that has a version and contains all paths. */
  static String commonSubtree(Collection<String> paths) {
    SettingsPath common = null;
    for (String text : paths) {
      SettingsPath path = SettingsPath.parse(text).prefix(2);
      if (common == null) {
        common = path;
      }
      while (!path.isWithin(common)) {
        common = common.parent().orElse(SettingsPath.ROOT);
      }
    }
    return common == null ? "/" : common.toString();
  }

  /** Returns assignments of the desired values that differ from the current ones or are new. */
  static List<Assignment> diff(Map<String, String> current, Map<String, String> desired) {
    List<Assignment> diff = new ArrayList<>();
    desired.forEach(
        (path, value) -> {
          if (!value.equals(current.get(path))) {
            diff.add(new Assignment(path, value));
          }
        });
    return diff;
  }

  /** Describes a diff in one line for each path. */
  static String describe(Map<String, String> current, List<Assignment> diff) {
    if (diff.isEmpty()) {
      return "nothing to change";
    }
    return String.join(
        "\n",
        diff.stream()
            .map(
                a ->
                    "%s: %s -> %s"
                        .formatted(a.path(), current.getOrDefault(a.path(), "(none)"), a.value()))
            .toList());
  }
}
