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

/** Files of settings in YAML: nested names stand for paths. Stateless. */
final class SettingsFile {

  private static final YAMLMapper YAML = new YAMLMapper();

  private SettingsFile() {}

  /** Reads a file into values by path. */
  static SortedMap<String, String> read(String text) {
    SortedMap<String, String> values = new TreeMap<>();
    try {
      JsonNode root = YAML.readTree(text);
      if (root != null) {
        flatten("", root, values);
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

  private static void flatten(String path, JsonNode node, Map<String, String> values) {
    if (node.isObject()) {
      node.properties()
          .forEach(field -> flatten(path + "/" + field.getKey(), field.getValue(), values));
    } else if (node.isValueNode()) {
      values.put(path, node.asText());
    } else {
      throw new IllegalArgumentException("path \"%s\" holds a list".formatted(path));
    }
  }

  /** Returns the deepest subtree with a version that holds all paths. */
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

  /** Returns the assignments that make the wanted values of the present ones. */
  static List<Assignment> diff(Map<String, String> present, Map<String, String> wanted) {
    List<Assignment> diff = new ArrayList<>();
    wanted.forEach(
        (path, value) -> {
          if (!value.equals(present.get(path))) {
            diff.add(new Assignment(path, value));
          }
        });
    return diff;
  }

  /** Describes a diff, one line a path. */
  static String describe(Map<String, String> present, List<Assignment> diff) {
    if (diff.isEmpty()) {
      return "nothing to change";
    }
    return String.join(
        "\n",
        diff.stream()
            .map(
                a ->
                    "%s: %s -> %s"
                        .formatted(a.path(), present.getOrDefault(a.path(), "(none)"), a.value()))
            .toList());
  }
}
