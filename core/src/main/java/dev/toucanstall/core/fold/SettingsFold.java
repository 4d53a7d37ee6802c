package dev.toucanstall.core.fold;

import dev.toucanstall.core.record.LogEntry;
import dev.toucanstall.core.record.RecordBody.SettingsChanged;
import dev.toucanstall.core.settings.Assignment;
import dev.toucanstall.core.settings.Schema;
import dev.toucanstall.core.settings.Settings;
import dev.toucanstall.core.settings.SettingsPath;
import dev.toucanstall.core.settings.SettingsReader;
import dev.toucanstall.core.settings.SettingsTree;
import java.util.List;
import java.util.Optional;

/** Folds operators' changes of settings. Pure. */
final class SettingsFold {

  private SettingsFold() {}

  /** Folds a change: it takes effect if its base is current and the new settings are valid. */
  static FoldResult change(AppliedState state, LogEntry entry, SettingsChanged change) {
    Optional<String> problem = problemOf(state, change);
    if (problem.isPresent()) {
      return FoldResult.refused(state, problem.get());
    }
    SettingsTree tree = state.tree().assign(change.assignments(), entry.offset());
    Settings settings = SettingsReader.read(tree);
    List<String> dangling = settings.danglingReferences();
    if (!dangling.isEmpty()) {
      return FoldResult.refused(state, String.join("; ", dangling));
    }
    HistoryEntry history =
        new HistoryEntry(
            entry.offset(), entry.producer().name(), change.author(), change.assignments());
    return FoldResult.applied(FleetFold.place(state.withTree(tree, settings).withHistory(history)));
  }

  private static Optional<String> problemOf(AppliedState state, SettingsChanged change) {
    SettingsPath subtree;
    try {
      subtree = SettingsPath.parse(change.subtree());
    } catch (IllegalArgumentException e) {
      return Optional.of(String.valueOf(e.getMessage()));
    }
    long version = state.tree().version(subtree);
    if (version != change.base()) {
      return Optional.of(conflict(state, subtree, change.base(), version));
    }
    return change.assignments().stream()
        .flatMap(assignment -> problemOf(subtree, assignment).stream())
        .findFirst();
  }

  private static Optional<String> problemOf(SettingsPath subtree, Assignment assignment) {
    Optional<String> problem = Schema.validationError(assignment);
    if (problem.isPresent()) {
      return problem;
    }
    return SettingsPath.parse(assignment.path()).isWithin(subtree)
        ? Optional.empty()
        : Optional.of(
            "path \"%s\" does not lie below \"%s\"".formatted(assignment.path(), subtree));
  }

  private static String conflict(
      AppliedState state, SettingsPath subtree, long base, long version) {
    String other =
        state.history().stream()
            .filter(entry -> entry.offset() == version)
            .map(entry -> " by %s: %s".formatted(entry.author(), entry.assignments()))
            .findFirst()
            .orElse("");
    return "subtree \"%s\" was read at version %d but is at %d, changed%s"
        .formatted(subtree, base, version, other);
  }
}
