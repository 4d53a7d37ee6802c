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

/** The commands that read and change settings. */
public final class SettingsCommands {

  private static final long WATCH_MILLIS = 500;

  private SettingsCommands() {}

  /** Shows settings. */
  @Parameters(commandDescription = "Show settings; example: toucanstall get /teams/a")
  public static final class Get implements Command {

    @Parameter(description = "PATH")
    private List<String> words = new ArrayList<>(List.of());

    @Override
    public Decision<Flow, CliEffect> start() {
      String path = words.isEmpty() ? "/" : words.get(0);
      return Flow.ask(new OperatorRequest.ShowSettings(path), Flow::show);
    }
  }

  /** Sets one value. */
  @Parameters(commandDescription = "Set a value; example: toucanstall set /teams/a/share 3")
  public static final class Set implements Command {

    @Parameter(description = "PATH VALUE")
    private List<String> words = new ArrayList<>();

    @ParametersDelegate private ChangeOptions options = new ChangeOptions();

    @Override
    public Decision<Flow, CliEffect> start() {
      Words.requireCount(words, 2, "set PATH VALUE");
      return Changes.write(List.of(new Assignment(words.get(0), words.get(1))), options.manner());
    }
  }

  /** Removes values. */
  @Parameters(commandDescription = "Remove a subtree; example: toucanstall remove /teams/a")
  public static final class Remove implements Command {

    @Parameter(description = "PATH")
    private List<String> words = new ArrayList<>();

    @ParametersDelegate private ChangeOptions options = new ChangeOptions();

    @Override
    public Decision<Flow, CliEffect> start() {
      Words.requireCount(words, 1, "remove PATH");
      return Changes.write(List.of(new Assignment(words.get(0), null)), options.manner());
    }
  }

  /** Applies a file of settings. */
  @Parameters(
      commandDescription = "Apply a YAML file, a diff first; example: toucanstall apply f.yaml")
  public static final class Apply implements Command {

    @Parameter(description = "FILE")
    private List<String> words = new ArrayList<>();

    @Parameter(names = "--dry-run", description = "Only show the diff")
    private boolean dryRun;

    @ParametersDelegate private ChangeOptions options = new ChangeOptions();

    @Override
    public Decision<Flow, CliEffect> start() {
      Words.requireCount(words, 1, "apply FILE");
      SortedMap<String, String> wanted = SettingsFile.read(content(words.get(0)));
      String root = SettingsFile.commonSubtree(wanted.keySet());
      return Flow.ask(
          new OperatorRequest.ShowSettings(root),
          answer ->
              answer instanceof OperatorAnswer.SettingsShown shown
                  ? apply(shown, wanted)
                  : Flow.show(answer));
    }

    private Decision<Flow, CliEffect> apply(
        OperatorAnswer.SettingsShown shown, Map<String, String> wanted) {
      List<Assignment> diff = SettingsFile.diff(shown.values(), wanted);
      String text = SettingsFile.describe(shown.values(), diff);
      if (diff.isEmpty() || dryRun) {
        return Flow.say(text, ExitStatus.DONE);
      }
      Decision<Flow, CliEffect> written =
          Changes.writeAt(shown.path(), shown.version(), diff, options.manner());
      List<CliEffect> effects = new ArrayList<>(List.of(new CliEffect.Print(text)));
      effects.addAll(written.effects());
      return new Decision<>(written.state(), effects);
    }

    private static String content(String file) {
      try {
        return Files.readString(Path.of(file));
      } catch (IOException e) {
        throw new IllegalArgumentException(
            "file \"%s\" does not exist or is not readable".formatted(file), e);
      }
    }
  }

  /** Shows the last changes. */
  @Parameters(commandDescription = "Show the last accepted changes")
  public static final class History implements Command {

    @Override
    public Decision<Flow, CliEffect> start() {
      return Flow.ask(new OperatorRequest.ShowHistory(), Flow::show);
    }
  }

  /** Shows changes as they are accepted. */
  @Parameters(commandDescription = "Show changes as they are accepted")
  public static final class Watch implements Command {

    @Parameter(names = "--count", description = "End after that many changes, 0 for never")
    private int count;

    @Override
    public Decision<Flow, CliEffect> start() {
      return poll(Long.MAX_VALUE, 0);
    }

    private Decision<Flow, CliEffect> poll(long after, int shown) {
      return Flow.ask(
          new OperatorRequest.ShowHistory(),
          answer ->
              answer instanceof OperatorAnswer.HistoryShown history
                  ? print(history, after, shown)
                  : Flow.show(answer));
    }

    private Decision<Flow, CliEffect> print(
        OperatorAnswer.HistoryShown history, long after, int shown) {
      var entries = history.entries();
      long newest = entries.isEmpty() ? -1 : entries.get(entries.size() - 1).offset();
      var fresh = entries.stream().filter(entry -> entry.offset() > after).toList();
      CliEffect[] prints = fresh.stream().map(CliEffect.Show::new).toArray(CliEffect[]::new);
      int all = shown + fresh.size();
      return count > 0 && all >= count
          ? Flow.end(ExitStatus.DONE, prints)
          : Flow.sleep(WATCH_MILLIS, () -> poll(newest, all), prints);
    }
  }

  /** Asks what became of a change. */
  @Parameters(commandDescription = "Ask what became of a change; example: toucanstall change ID")
  public static final class Change implements Command {

    @Parameter(description = "ID")
    private List<String> words = new ArrayList<>();

    @Override
    public Decision<Flow, CliEffect> start() {
      Words.requireCount(words, 1, "change ID");
      return Flow.ask(
          new OperatorRequest.ShowChange(Objects.requireNonNull(words.get(0))), Flow::show);
    }
  }

  /** Shows the schema, or checks a file against it. */
  @Parameters(commandDescription = "Check a YAML file, or show the schema without one")
  public static final class Check implements Command {

    @Parameter(description = "[FILE]")
    private List<String> words = new ArrayList<>();

    @Override
    public Decision<Flow, CliEffect> start() {
      if (words.isEmpty()) {
        return Flow.say(String.join("\n", Schema.describe()), ExitStatus.DONE);
      }
      List<String> problems =
          SettingsFile.read(Apply.content(words.get(0))).entrySet().stream()
              .map(e -> new Assignment(e.getKey(), e.getValue()))
              .flatMap(a -> Schema.validationError(a).stream())
              .toList();
      return problems.isEmpty()
          ? Flow.say("settings file is right", ExitStatus.DONE)
          : Flow.say(String.join("\n", problems), ExitStatus.REFUSED);
    }
  }
}
