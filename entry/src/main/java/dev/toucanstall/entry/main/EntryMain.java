package dev.toucanstall.entry.main;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import dev.toucanstall.entry.config.ConfigReader;
import dev.toucanstall.entry.config.EntryConfig;
import dev.toucanstall.runtime.process.FatalErrors;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.apache.logging.log4j.LogManager;
import org.jspecify.annotations.Nullable;

/** The command {@code toucanstall-entry}, which runs an entry instance. */
public final class EntryMain {

  private static final int EXIT_USAGE = 2;
  private static final int EXIT_INVALID_CONFIG = 3;
  private static final int EXIT_START_FAILED = 4;

  @Parameter(names = "--config", description = "The settings file in YAML", required = true)
  private String configFile = "";

  @Parameter(names = "--check", description = "Only check the settings file")
  private boolean checkOnly;

  @Parameter(names = "--help", help = true, description = "Show this help")
  private boolean help;

  private EntryMain() {}

  /**
   * Runs an entry instance until it exits, usually after SIGTERM.
   *
   * <p>The exit status is 0 or the one that the instance decides on, 2 for a wrong command line, 3
   * for a settings file that is missing or has errors, or 4 if the instance cannot start.
   *
   * @param args the command line; {@code --help} lists the options
   * @throws InterruptedException if the main thread is interrupted
   */
  public static void main(String[] args) throws InterruptedException {
    FatalErrors.install();
    EntryMain main = new EntryMain();
    JCommander commander =
        JCommander.newBuilder().addObject(main).programName("toucanstall-entry").build();
    try {
      commander.parse(args);
    } catch (ParameterException e) {
      System.err.println(e.getMessage());
      Runtime.getRuntime().halt(EXIT_USAGE);
    }
    if (main.help) {
      commander.usage();
      return;
    }
    int status = main.run(System.out);
    System.out.flush();
    Runtime.getRuntime().halt(status);
  }

  private int run(PrintStream out) throws InterruptedException {
    EntryConfig config = readConfig(out);
    if (config == null) {
      return EXIT_INVALID_CONFIG;
    }
    if (checkOnly) {
      out.println("settings file is right");
      return 0;
    }
    try (EntryProcess process = new EntryProcess(config, System.currentTimeMillis())) {
      process.start();
      Runtime.getRuntime().addShutdownHook(new Thread(() -> stopAndBlock(process), "stop"));
      int status = process.awaitExit();
      LogManager.shutdown();
      return status;
    } catch (IOException e) {
      out.println("did not start: " + e);
      return EXIT_START_FAILED;
    }
  }

  /**
   * Requests a graceful stop, and delays the shutdown of the JVM until the main thread halts it
   * once the instance has stopped.
   */
  private static void stopAndBlock(EntryProcess process) {
    process.stop();
    try {
      Thread.sleep(Long.MAX_VALUE);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private @Nullable EntryConfig readConfig(PrintStream out) {
    String text;
    try {
      text = Files.readString(Path.of(configFile));
    } catch (IOException e) {
      out.println("settings file \"%s\" does not exist or is not readable".formatted(configFile));
      return null;
    }
    return switch (ConfigReader.read(text)) {
      case ConfigReader.Result.Valid valid -> valid.config();
      case ConfigReader.Result.Invalid invalid -> {
        printProblems(out, invalid.problems());
        yield null;
      }
    };
  }

  private void printProblems(PrintStream out, List<String> problems) {
    problems.forEach(problem -> out.println(configFile + ": " + problem));
  }
}
