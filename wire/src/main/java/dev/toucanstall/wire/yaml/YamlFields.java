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
 * Reads a settings file and collects every error in it. Not thread-safe.
 *
 * <p>Fields are named by their path, such as {@code http.port}. Reading a field that is missing or
 * malformed notes an error and returns a stand-in, so that one pass finds all errors; {@link
 * #errors()} tells whether the values may be used.
 */
public final class YamlFields {

  private final Map<String, Scalar> fields = new TreeMap<>();
  private final Set<String> read = new HashSet<>();
  private final List<String> errors = new ArrayList<>();

  private record Scalar(String text, int line) {}

  /**
   * Parses a settings file.
   *
   * @param text the content of the file
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
      mapping.getValue().forEach(tuple -> flattenTuple(path, tuple));
    } else if (node instanceof ScalarNode scalar) {
      put(path, scalar);
    } else {
      errors.add(
          "line %d: %s: expected a value or fields, found a list".formatted(line(node), path));
    }
  }

  private void flattenTuple(String path, NodeTuple tuple) {
    if (tuple.getKeyNode() instanceof ScalarNode key) {
      String name = path.isEmpty() ? key.getValue() : path + "." + key.getValue();
      flatten(name, tuple.getValueNode());
    } else {
      errors.add("line %d: %s: expected a name as key".formatted(line(tuple.getKeyNode()), path));
    }
  }

  private void put(String path, ScalarNode scalar) {
    if (fields.put(path, new Scalar(scalar.getValue(), line(scalar))) != null) {
      errors.add("line %d: %s: is given twice".formatted(line(scalar), path));
    }
  }

  private static int line(Node node) {
    return node.getStartMark().getLine() + 1;
  }

  /**
   * Reads a field that must be there.
   *
   * @param path its path
   * @param expected what it is expected to be, for the error
   * @param parse makes the value, throws {@link IllegalArgumentException} if the text is malformed
   * @param standIn returned if there is an error
   * @return the value
   */
  public <T> T require(String path, String expected, Function<String, T> parse, T standIn) {
    read.add(path);
    if (!fields.containsKey(path)) {
      errors.add("line 0: %s: is missing, expected %s".formatted(path, expected));
      return standIn;
    }
    return parse(path, expected, parse, standIn);
  }

  /**
   * Reads a field that may be absent.
   *
   * @param path its path
   * @param expected what it is expected to be, for the error
   * @param parse makes the value, throws {@link IllegalArgumentException} if the text is malformed
   * @param absent returned if the field is absent or malformed
   * @return the value
   */
  public <T extends @Nullable Object> T optional(
      String path, String expected, Function<String, T> parse, T absent) {
    read.add(path);
    return fields.containsKey(path) ? parse(path, expected, parse, absent) : absent;
  }

  private <T extends @Nullable Object> T parse(
      String path, String expected, Function<String, T> parse, T standIn) {
    Scalar field = fields.get(path);
    if (field == null) {
      return standIn;
    }
    try {
      return parse.apply(field.text);
    } catch (IllegalArgumentException e) {
      errors.add(
          "line %d: %s: expected %s, found \"%s\""
              .formatted(field.line, path, expected, field.text));
      return standIn;
    }
  }

  /**
   * Lists all errors, those of fields that nobody read included.
   *
   * @return one line for each, in the order of the file; empty if the values may be used
   */
  public List<String> errors() {
    List<String> all = new ArrayList<>(errors);
    fields.forEach(
        (path, field) -> {
          if (!read.contains(path)) {
            all.add("line %d: %s: is not known".formatted(field.line, path));
          }
        });
    all.sort((a, b) -> Integer.compare(lineOf(a), lineOf(b)));
    return all;
  }

  private static int lineOf(String problem) {
    String number = problem.substring("line ".length(), problem.indexOf(':'));
    return Integer.parseInt(number);
  }
}
