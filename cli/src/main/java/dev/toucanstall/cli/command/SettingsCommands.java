package dev.toucanstall.cli.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import dev.toucanstall.cli.flow.CliEffect;
import dev.toucanstall.cli.flow.ExitStatus;
import dev.toucanstall.cli.flow.Flow;
import dev.toucanstall.core.effect.OperatorAnswer;
import dev.toucanstall.core.event.OperatorRequest;
import dev.toucanstall.core.settings.Assignment;
import dev.toucanstall.core.settings.Schema;
import dev.toucanstall.runtime.loop.Decision;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SortedMap;

/** Commands that read and change settings. */
public final class SettingsCommands {

  private static final long WATCH_INTERVAL_MILLIS = 500;

  private SettingsCommands() {}

  /** Shows the settings below a path, or all settings if no path is given. */
  @Parameters(commandDescription = "Show settings; example: toucanstall get /teams/a")
  public static final class Get implements Command {

    @Parameter(description = "PATH")
    private List<String> arguments = new ArrayList<>(List.of());

    @Override
    public Decision<Flow, CliEffect> start() {
      String path = arguments.isEmpty() ? "/" : arguments.get(0);
      return Flow.request(new OperatorRequest.ShowSettings(path), Flow::showAndExit);
    }
  }

  /** Sets the value of one path. */
  @Parameters(commandDescription = "Set a value; example: toucanstall set /teams/a/share 3")
  public static final class Set implements Command {

    @Parameter(description = "PATH VALUE")
    private List<String> arguments = new ArrayList<>();

    @ParametersDelegate private ChangeOptions options = new ChangeOptions();

    @Override
    public Decision<Flow, CliEffect> start() {
      Arguments.requireCount(arguments, 2, "set PATH VALUE");
      return SettingsChanges.write(
          List.of(new Assignment(arguments.get(0), arguments.get(1))), options.writeOptions());
    }
  }

  /** Removes all values of a subtree. */
  @Parameters(commandDescription = "Remove a subtree; example: toucanstall remove /teams/a")
  public static final class Remove implements Command {

    @Parameter(description = "PATH")
    private List<String> arguments = new ArrayList<>();

    @ParametersDelegate private ChangeOptions options = new ChangeOptions();

    @Override
    public Decision<Flow, CliEffect> start() {
      Arguments.requireCount(arguments, 1, "remove PATH");
      return SettingsChanges.write(
          List.of(new Assignment(arguments.get(0), null)), options.writeOptions());
    }
  }

  /**
   * Applies the values of a settings file that differ from the current ones. Paths that the file
   * does not name keep their values.
   */
  @Parameters(
      commandDescription = "Apply a YAML file, a diff first; example: toucanstall apply f.yaml")
  public static final class Apply implements Command {

    @Parameter(description = "FILE")
    private List<String> arguments = new ArrayList<>();

    @Parameter(names = "--dry-run", description = "Only show the diff")
    private boolean dryRun;

    @ParametersDelegate private ChangeOptions options = new ChangeOptions();

    @Override
    public Decision<Flow, CliEffect> start() {
      Arguments.requireCount(arguments, 1, "apply FILE");
      SortedMap<String, String> desired = SettingsFile.read(readFile(arguments.get(0)));
      String root = SettingsFile.commonSubtree(desired.keySet());
      return Flow.request(
          new OperatorRequest.ShowSettings(root),
          answer ->
              answer instanceof OperatorAnswer.SettingsShown shown
                  ? apply(shown, desired)
                  : Flow.showAndExit(answer));
    }

    private Decision<Flow, CliEffect> apply(
        OperatorAnswer.SettingsShown shown, Map<String, String> desired) {
      List<Assignment> diff = SettingsFile.diff(shown.values(), desired);
      String text = SettingsFile.describe(shown.values(), diff);
      if (diff.isEmpty() || dryRun) {
        return Flow.printAndExit(text, ExitStatus.SUCCESS);
      }
      Decision<Flow, CliEffect> write =
          SettingsChanges.writeAtVersion(
              shown.path(), shown.version(), diff, options.writeOptions());
      List<CliEffect> effects = new ArrayList<>(List.of(new CliEffect.Print(text)));
      effects.addAll(write.effects());
      return new Decision<>(write.state(), effects);
    }

    private static String readFile(String file) {
      try {
        return Files.readString(Path.of(file));
      } catch (IOException e) {
        throw new IllegalArgumentException(
            "file \"%s\" does not exist or is not readable".formatted(file), e);
      }
    }
  }

  /** Shows the last accepted changes. */
  @Parameters(commandDescription = "Show the last accepted changes")
  public static final class History implements Command {

    @Override
    public Decision<Flow, CliEffect> start() {
      return Flow.request(new OperatorRequest.ShowHistory(), Flow::showAndExit);
    }
  }

  /** Polls the history and shows each change that is accepted from now on. */
  @Parameters(commandDescription = "Show changes as they are accepted")
  public static final class Watch implements Command {

    @Parameter(names = "--count", description = "End after that many changes, 0 for never")
    private int count;

    @Override
    public Decision<Flow, CliEffect> start() {
      return poll(Long.MAX_VALUE, 0);
    }

    private Decision<Flow, CliEffect> poll(long afterOffset, int shownCount) {
      return Flow.request(
          new OperatorRequest.ShowHistory(),
          answer ->
              answer instanceof OperatorAnswer.HistoryShown history
                  ? print(history, afterOffset, shownCount)
                  : Flow.showAndExit(answer));
    }

    private Decision<Flow, CliEffect> print(
        OperatorAnswer.HistoryShown history, long afterOffset, int shownCount) {
      var entries = history.entries();
      long newestOffset = entries.isEmpty() ? -1 : entries.get(entries.size() - 1).offset();
      var newEntries = entries.stream().filter(entry -> entry.offset() > afterOffset).toList();
      CliEffect[] prints = newEntries.stream().map(CliEffect.Show::new).toArray(CliEffect[]::new);
      int totalShown = shownCount + newEntries.size();
      return count > 0 && totalShown >= count
          ? Flow.exit(ExitStatus.SUCCESS, prints)
          : Flow.sleep(WATCH_INTERVAL_MILLIS, () -> poll(newestOffset, totalShown), prints);
    }
  }

  /** Shows whether a change was accepted, for changes with an uncertain outcome. */
  @Parameters(commandDescription = "Ask what became of a change; example: toucanstall change ID")
  public static final class Change implements Command {

    @Parameter(description = "ID")
    private List<String> arguments = new ArrayList<>();

    @Override
    public Decision<Flow, CliEffect> start() {
      Arguments.requireCount(arguments, 1, "change ID");
      return Flow.request(
          new OperatorRequest.ShowChange(Objects.requireNonNull(arguments.get(0))),
          Flow::showAndExit);
    }
  }

  /** Checks a settings file against the schema, or shows the schema without a file. */
  @Parameters(commandDescription = "Check a YAML file, or show the schema without one")
  public static final class Check implements Command {

    @Parameter(description = "[FILE]")
    private List<String> arguments = new ArrayList<>();

    @Override
    public Decision<Flow, CliEffect> start() {
      if (arguments.isEmpty()) {
        return Flow.printAndExit(String.join("\n", Schema.describe()), ExitStatus.SUCCESS);
      }
      List<String> problems =
          SettingsFile.read(Apply.readFile(arguments.get(0))).entrySet().stream()
              .map(e -> new Assignment(e.getKey(), e.getValue()))
              .flatMap(a -> Schema.validationError(a).stream())
              .toList();
      return problems.isEmpty()
          ? Flow.printAndExit("settings file is right", ExitStatus.SUCCESS)
          : Flow.printAndExit(String.join("\n", problems), ExitStatus.REFUSED);
    }
  }
}
