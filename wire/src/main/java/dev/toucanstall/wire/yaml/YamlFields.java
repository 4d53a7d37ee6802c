package dev.toucanstall.wire.yaml;

import java.io.StringReader;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.error.MarkedYAMLException;
import org.yaml.snakeyaml.error.YAMLException;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.NodeTuple;
import org.yaml.snakeyaml.nodes.ScalarNode;

/**
 * Fields of a YAML settings file, with all errors in it. Not thread-safe.
 *
 * <p>A field is named by its path, such as {@code http.port}. Reading a missing or malformed field
 * records an error and returns a placeholder, so that one pass finds all errors. The values may be
 * used only if {@link #errors()} is empty.
 */
public final class YamlFields {

  private final Map<String, Scalar> fields = new TreeMap<>();
  private final Set<String> readPaths = new HashSet<>();
  private final List<String> errors = new ArrayList<>();

  private record Scalar(String text, int line) {}

  /**
   * Parses a settings file; a syntax error is recorded, not thrown.
   *
   * @param text content of the file
   */
  public YamlFields(String text) {
    try {
      Node root = new Yaml(new LoaderOptions()).compose(new StringReader(text));
      if (root != null) {
        flatten("", root);
      }
    } catch (MarkedYAMLException e) {
      int line = e.getProblemMark() == null ? 0 : e.getProblemMark().getLine() + 1;
      errors.add("line %d: %s".formatted(line, e.getProblem()));
    } catch (YAMLException e) {
      errors.add("line 0: the file is not YAML");
    }
  }

  private void flatten(String path, Node node) {
    if (node instanceof MappingNode mapping) {
      mapping.getValue().forEach(entry -> flattenEntry(path, entry));
    } else if (node instanceof ScalarNode scalar) {
      addField(path, scalar);
    } else {
      errors.add(
          "line %d: %s: expected a value or fields, found a list".formatted(startLine(node), path));
    }
  }

  private void flattenEntry(String path, NodeTuple entry) {
    if (entry.getKeyNode() instanceof ScalarNode key) {
      String name = path.isEmpty() ? key.getValue() : path + "." + key.getValue();
      flatten(name, entry.getValueNode());
    } else {
      errors.add(
          "line %d: %s: expected a name as key".formatted(startLine(entry.getKeyNode()), path));
    }
  }

  private void addField(String path, ScalarNode scalar) {
    if (fields.put(path, new Scalar(scalar.getValue(), startLine(scalar))) != null) {
      errors.add("line %d: %s: is given twice".formatted(startLine(scalar), path));
    }
  }

  private static int startLine(Node node) {
    return node.getStartMark().getLine() + 1;
  }

  /**
   * Reads a required field.
   *
   * @param path path of the field
   * @param expected description of a valid value, for error messages
   * @param parser parses the text; throws {@link IllegalArgumentException} if it is malformed
   * @param placeholder value returned if the field is missing or malformed
   * @return the parsed value or the placeholder
   */
  public <T> T require(String path, String expected, Function<String, T> parser, T placeholder) {
    readPaths.add(path);
    if (!fields.containsKey(path)) {
      errors.add("line 0: %s: is missing, expected %s".formatted(path, expected));
      return placeholder;
    }
    return parse(path, expected, parser, placeholder);
  }

  /**
   * Reads an optional field.
   *
   * @param path path of the field
   * @param expected description of a valid value, for error messages
   * @param parser parses the text; throws {@link IllegalArgumentException} if it is malformed
   * @param defaultValue value returned if the field is absent or malformed
   * @return the parsed value or the default
   */
  public <T extends @Nullable Object> T optional(
      String path, String expected, Function<String, T> parser, T defaultValue) {
    readPaths.add(path);
    return fields.containsKey(path) ? parse(path, expected, parser, defaultValue) : defaultValue;
  }

  private <T extends @Nullable Object> T parse(
      String path, String expected, Function<String, T> parser, T fallback) {
    Scalar field = fields.get(path);
    if (field == null) {
      return fallback;
    }
    try {
      return parser.apply(field.text);
    } catch (IllegalArgumentException e) {
      errors.add(
          "line %d: %s: expected %s, found \"%s\""
              .formatted(field.line, path, expected, field.text));
      return fallback;
    }
  }

  /**
   * Returns all errors, including one for each field that was never read and so is unknown.
   *
   * @return one message for each error, in the order of the file's lines; empty if the values may
   *     be used
   */
  public List<String> errors() {
    List<String> all = new ArrayList<>(errors);
    fields.forEach(
        (path, field) -> {
          if (!readPaths.contains(path)) {
            all.add("line %d: %s: is not known".formatted(field.line, path));
          }
        });
    all.sort((a, b) -> Integer.compare(lineNumber(a), lineNumber(b)));
    return all;
  }

  private static int lineNumber(String error) {
    String number = error.substring("line ".length(), error.indexOf(':'));
    return Integer.parseInt(number);
  }
}
