package dev.toucanstall.cli.main;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import dev.toucanstall.wire.json.Mappers;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/** The formats in which values are shown. */
enum Output {
  TEXT,
  JSON,
  YAML;

  private static final YAMLMapper YAML_MAPPER = new YAMLMapper();

  /** Formats a record. */
  String format(Object value) {
    ObjectMapper mapper = Mappers.forJson();
    JsonNode tree = mapper.valueToTree(value);
    try {
      return switch (this) {
        case JSON -> mapper.writerWithDefaultPrettyPrinter().writeValueAsString(tree);
        case YAML -> YAML_MAPPER.writeValueAsString(tree).strip();
        case TEXT -> String.join("\n", text(tree, ""));
      };
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException("value has no text", e);
    }
  }

  /** Writes plain fields one a line, and a list of records as a table. */
  private static List<String> text(JsonNode node, String indent) {
    List<String> lines = new ArrayList<>();
    node.properties()
        .forEach(
            field -> {
              JsonNode value = field.getValue();
              boolean isTable = value.isArray() && !value.isEmpty() && value.get(0).isObject();
              if (isTable) {
                lines.add(indent + field.getKey() + ":");
                lines.addAll(table(value, indent + "  "));
              } else if (value.isObject()) {
                lines.add(indent + field.getKey() + ":");
                lines.addAll(text(value, indent + "  "));
              } else if (!field.getKey().equals("kind")) {
                lines.add(indent + field.getKey() + ": " + cell(value));
              }
            });
    return lines;
  }

  private static List<String> table(JsonNode rows, String indent) {
    List<String> names = new ArrayList<>();
    rows.get(0).fieldNames().forEachRemaining(names::add);
    List<List<String>> cells = new ArrayList<>(List.of(names));
    rows.forEach(row -> cells.add(names.stream().map(n -> cell(row.path(n))).toList()));
    int[] widths = new int[names.size()];
    for (List<String> row : cells) {
      for (int i = 0; i < widths.length; i++) {
        widths[i] = Math.max(widths[i], row.get(i).length());
      }
    }
    return cells.stream().map(row -> indent + line(row, widths)).toList();
  }

  private static String line(List<String> row, int[] widths) {
    StringBuilder line = new StringBuilder();
    for (int i = 0; i < widths.length; i++) {
      line.append(row.get(i)).append(" ".repeat(widths[i] - row.get(i).length() + 2));
    }
    return line.toString().stripTrailing();
  }

  private static String cell(JsonNode value) {
    return value.isValueNode() ? value.asText() : value.toString();
  }
}
