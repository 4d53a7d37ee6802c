package dev.toucanstall.core.settings;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class SchemaTest {

  private static String validationError(String path, String value) {
    return Schema.validationError(new Assignment(path, value)).orElse("");
  }

  @Test
  void valueIsValidatedByTheTypeOfItsPath() {
    assertThat(validationError("/teams/a/share", "3")).isEmpty();
    assertThat(validationError("/teams/a/share", "0")).contains("a whole number in 1..1000");
    assertThat(validationError("/teams/a/share", "many")).contains("a whole number in 1..1000");
  }

  @Test
  void unknownPathIsRefused() {
    assertThat(validationError("/teams/a/colour", "red")).contains("does not exist in the schema");
    assertThat(validationError("/teams/a", "red")).contains("does not exist in the schema");
  }

  @Test
  void malformedPathIsRefused() {
    assertThat(validationError("teams/a/share", "3")).contains("does not start with");
    assertThat(validationError("/teams//share", "3")).contains("does not match");
    assertThat(validationError("/teams/A/share", "3")).contains("does not match");
  }

  @Test
  void keyMustBeDigest() {
    assertThat(validationError("/teams/a/keys/k", "secret")).contains("SHA-256");
    assertThat(validationError("/teams/a/keys/k", "0".repeat(64))).isEmpty();
  }

  @Test
  void subtreeRemovalIsValid() {
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
  void removalDropsTheSubtreeAndNotItsSiblings() {
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
