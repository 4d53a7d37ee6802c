package dev.toucanstall.entry.main;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import dev.toucanstall.entry.config.ConfigReader;
import dev.toucanstall.entry.config.EntryConfig;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.apache.logging.log4j.LogManager;
import org.jspecify.annotations.Nullable;

/** The binary {@code toucanstall-entry}. */
public final class EntryMain {

  private static final int USAGE = 2;
  private static final int BAD_CONFIG = 3;
  private static final int NOT_STARTED = 4;

  @Parameter(names = "--config", description = "The settings file in YAML", required = true)
  private String config = "";

  @Parameter(names = "--check", description = "Only check the settings file")
  private boolean check;

  @Parameter(names = "--help", help = true, description = "Show this help")
  private boolean help;

  private EntryMain() {}

  /**
   * Runs an entry instance until it is stopped by SIGTERM.
   *
   * @param args see {@code --help}
   * @throws InterruptedException if the main thread is interrupted
   */
  public static void main(String[] args) throws InterruptedException {
    EntryMain main = new EntryMain();
    JCommander commander =
        JCommander.newBuilder().addObject(main).programName("toucanstall-entry").build();
    try {
      commander.parse(args);
    } catch (ParameterException e) {
      System.err.println(e.getMessage());
      Runtime.getRuntime().halt(USAGE);
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
    EntryConfig read = read(out);
    if (read == null) {
      return BAD_CONFIG;
    }
    if (check) {
      out.println("settings file is right");
      return 0;
    }
    try (EntryProcess process = new EntryProcess(read, System.currentTimeMillis())) {
      process.start();
      Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(process), "stop"));
      int status = process.awaitExit();
      LogManager.shutdown();
      return status;
    } catch (IOException e) {
      out.println("did not start: " + e);
      return NOT_STARTED;
    }
  }

  /** Holds the shutdown back until the instance has left; the main thread then halts. */
  private static void stop(EntryProcess process) {
    process.stop();
    try {
      Thread.sleep(Long.MAX_VALUE);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private @Nullable EntryConfig read(PrintStream out) {
    String text;
    try {
      text = Files.readString(Path.of(config));
    } catch (IOException e) {
      out.println("settings file \"%s\" does not exist or is not readable".formatted(config));
      return null;
    }
    return switch (ConfigReader.read(text)) {
      case ConfigReader.Result.Valid good -> good.config();
      case ConfigReader.Result.Invalid bad -> {
        show(out, bad.problems());
        yield null;
      }
    };
  }

  private void show(PrintStream out, List<String> problems) {
    problems.forEach(problem -> out.println(config + ": " + problem));
  }
}
