package dev.toucanstall.cli.main;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import dev.toucanstall.cli.command.Command;
import dev.toucanstall.cli.command.FleetCommands;
import dev.toucanstall.cli.command.ReportCommand;
import dev.toucanstall.cli.command.SettingsCommands;
import dev.toucanstall.cli.command.TeamCommands;
import dev.toucanstall.cli.flow.ExitStatus;
import dev.toucanstall.runtime.http.BlockingHttpClient;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;

/** Main class of the operators' command line {@code toucanstall}. */
public final class CliMain {

  @Parameter(
      names = "--entry",
      description = "URLs of entry instances' operator interfaces; TOUCANSTALL_ENTRY if absent")
  private List<String> entries = new ArrayList<>();

  @Parameter(names = "--output", description = "text, json or yaml")
  private String output = "text";

  @Parameter(
      names = "--token-variable",
      description = "The environment variable that holds the operators' token")
  private String tokenVariable = "TOUCANSTALL_TOKEN";

  @Parameter(names = "--help", help = true, description = "Show this help")
  private boolean help;

  private CliMain() {}

  /**
   * Runs one command and exits with its status.
   *
   * @param args command line as described by {@code --help}
   * @throws InterruptedException if the main thread is interrupted
   */
  public static void main(String[] args) throws InterruptedException {
    System.exit(new CliMain().run(args, System.out));
  }

  private static Map<String, Command> commands() {
    Map<String, Command> commands = new LinkedHashMap<>();
    commands.put("get", new SettingsCommands.Get());
    commands.put("set", new SettingsCommands.Set());
    commands.put("remove", new SettingsCommands.Remove());
    commands.put("apply", new SettingsCommands.Apply());
    commands.put("check", new SettingsCommands.Check());
    commands.put("history", new SettingsCommands.History());
    commands.put("watch", new SettingsCommands.Watch());
    commands.put("change", new SettingsCommands.Change());
    commands.put("team", new TeamCommands.Team());
    commands.put("key", new TeamCommands.Key());
    commands.put("wave", new FleetCommands.Wave());
    commands.put("instances", new FleetCommands.Instances());
    commands.put("unknown-names", new FleetCommands.UnknownNames());
    commands.put("status", new FleetCommands.Status());
    commands.put("explain", new FleetCommands.Explain());
    commands.put("forget", new FleetCommands.Forget());
    commands.put("report", new ReportCommand());
    return commands;
  }

  private int run(String[] args, PrintStream out) throws InterruptedException {
    Map<String, Command> commands = commands();
    JCommander.Builder builder = JCommander.newBuilder().addObject(this).programName("toucanstall");
    commands.forEach(builder::addCommand);
    JCommander commander = builder.build();
    try {
      commander.parse(args);
      String name = commander.getParsedCommand();
      if (help || name == null) {
        commander.usage();
        return help ? ExitStatus.SUCCESS : ExitStatus.USAGE;
      }
      return run(Objects.requireNonNull(commands.get(name)), out);
    } catch (ParameterException | IllegalArgumentException e) {
      out.println(e.getMessage());
      return ExitStatus.USAGE;
    }
  }

  private int run(Command command, PrintStream out) throws InterruptedException {
    String token = Objects.requireNonNullElse(System.getenv(tokenVariable), "");
    try (BlockingHttpClient calls = new BlockingHttpClient("cli")) {
      return new CliRunner(calls, entryUrls(), token, outputFormat(), out).run(command.start());
    }
  }

  private List<String> entryUrls() {
    if (!entries.isEmpty()) {
      return entries;
    }
    String configured =
        Objects.requireNonNullElse(System.getenv("TOUCANSTALL_ENTRY"), "http://127.0.0.1:8081");
    return List.of(configured.split(",", -1));
  }

  private OutputFormat outputFormat() {
    try {
      return OutputFormat.valueOf(output.toUpperCase(Locale.ROOT));
    } catch (IllegalArgumentException e) {
      throw new IllegalArgumentException(
          "--output \"%s\" is not text, json or yaml".formatted(output), e);
    }
  }
}
