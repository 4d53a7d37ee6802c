package dev.toucanstall.entry.config;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

final class ConfigReaderTest {

  private static final String VALID_FILE =
      """
      id: e1
      datacentre: dc1
      domain: rack1
      listen:
        callers: 127.0.0.1:8010
        operators: 127.0.0.1:8011
        peers: 127.0.0.1:8012
      peer-secret: 0123456789abcdef
      platform:
        log: http://127.0.0.1:7000
        instances: http://127.0.0.1:7000/
      """;

  private static List<String> problems(String text) {
    return ConfigReader.read(text) instanceof ConfigReader.Result.Invalid invalid
        ? invalid.problems()
        : List.of();
  }

  @Test
  void readsCompleteFile() {
    assertThat(problems(VALID_FILE)).isEmpty();
    assertThat(ConfigReader.read(VALID_FILE)).isInstanceOf(ConfigReader.Result.Valid.class);
  }

  @Test
  void emptyFileReportsEveryMissingField() {
    assertThat(problems("")).hasSize(9);
  }

  @Test
  void reportsAllErrorsWithLineNumbers() {
    String text =
        VALID_FILE.replace("8010", "eighty").replace("id: e1", "id: E1") + "colour: red\n";

    assertThat(problems(text))
        .containsExactly(
            "line 1: id: expected a name, found \"E1\"",
            "line 5: listen.callers: expected host:port, found \"127.0.0.1:eighty\"",
            "line 12: colour: is not known")
        .inOrder();
  }

  @Test
  void rejectsListInPlaceOfValue() {
    assertThat(problems(VALID_FILE + "limits:\n  - 3\n"))
        .containsExactly("line 13: limits: expected a value or fields, found a list");
  }

  @Test
  void reportsInvalidYamlWithLineNumber() {
    assertThat(problems("a: [").get(0)).startsWith("line ");
  }

  @Test
  void toStringOmitsSecret() {
    assertThat(ConfigReader.read(VALID_FILE).toString()).doesNotContain("0123456789abcdef");
  }
}
