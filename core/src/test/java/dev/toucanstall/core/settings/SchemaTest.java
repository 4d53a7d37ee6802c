package dev.toucanstall.core.settings;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class SchemaTest {

  private static String problem(String path, String value) {
    return Schema.validationError(new Assignment(path, value)).orElse("");
  }

  @Test
  void knownPathTakesItsType() {
    assertThat(problem("/teams/a/share", "3")).isEmpty();
    assertThat(problem("/teams/a/share", "0")).contains("a whole number in 1..1000");
    assertThat(problem("/teams/a/share", "many")).contains("a whole number in 1..1000");
  }

  @Test
  void unknownPathIsRefused() {
    assertThat(problem("/teams/a/colour", "red")).contains("does not exist in the schema");
    assertThat(problem("/teams/a", "red")).contains("does not exist in the schema");
  }

  @Test
  void malformedPathIsRefused() {
    assertThat(problem("teams/a/share", "3")).contains("does not start with");
    assertThat(problem("/teams//share", "3")).contains("does not match");
    assertThat(problem("/teams/A/share", "3")).contains("does not match");
  }

  @Test
  void keysAreDigests() {
    assertThat(problem("/teams/a/keys/k", "secret")).contains("SHA-256");
    assertThat(problem("/teams/a/keys/k", "0".repeat(64))).isEmpty();
  }

  @Test
  void removalMayNameWholeSubtree() {
    assertThat(Schema.validationError(new Assignment("/teams/a", null)))
        .isEqualTo(Optional.empty());
    assertThat(Schema.validationError(new Assignment("/nothing", null)).isPresent()).isTrue();
  }

  @Test
  void subtreeHasTheVersionOfItsLastChange() {
    SettingsTree tree =
        SettingsTree.EMPTY
            .assign(List.of(new Assignment("/teams/a/limit", "1")), 4)
            .assign(List.of(new Assignment("/teams/b/limit", "1")), 7);

    assertThat(tree.version(SettingsPath.parse("/teams/a"))).isEqualTo(4);
    assertThat(tree.version(SettingsPath.parse("/teams/a/limit"))).isEqualTo(4);
    assertThat(tree.version(SettingsPath.parse("/teams"))).isEqualTo(7);
    assertThat(tree.version(SettingsPath.parse("/pools"))).isEqualTo(SettingsTree.NEVER_CHANGED);
  }

  @Test
  void removalTakesTheSubtreeAndNotItsNeighbours() {
    SettingsTree tree =
        SettingsTree.EMPTY.assign(
            List.of(
                new Assignment("/teams/a/limit", "1"),
                new Assignment("/teams/a-b/limit", "2"),
                new Assignment("/teams/a", null)),
            1);

    assertThat(tree.leaves().keySet()).containsExactly("/teams/a-b/limit");
  }
}
