package dev.toucanstall.cli.main;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import dev.toucanstall.wire.json.Mappers;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/** Output formats of values. */
enum OutputFormat {
  TEXT,
  JSON,
  YAML;

  private static final YAMLMapper YAML_MAPPER = new YAMLMapper();

  /** Formats a record without a line break at the end. */
  String format(Object value) {
    ObjectMapper mapper = Mappers.forJson();
    JsonNode tree = mapper.valueToTree(value);
    try {
      return switch (this) {
        case JSON -> mapper.writerWithDefaultPrettyPrinter().writeValueAsString(tree);
        case YAML -> YAML_MAPPER.writeValueAsString(tree).strip();
        case TEXT -> String.join("\n", textLines(tree, ""));
      };
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException("value has no text", e);
    }
  }

  /** Formats each plain field as a line, and a list of records as a table. */
  private static List<String> textLines(JsonNode node, String indent) {
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
                lines.addAll(textLines(value, indent + "  "));
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
    return cells.stream().map(row -> indent + tableRow(row, widths)).toList();
  }

  private static String tableRow(List<String> row, int[] widths) {
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
