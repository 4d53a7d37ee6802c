package dev.toucanstall.entry.node;

import dev.toucanstall.platform.settings.PlatformSettings;
import dev.toucanstall.runtime.log.LogLine;
import dev.toucanstall.runtime.process.FatalErrors;
import dev.toucanstall.wire.Decoded;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import sun.misc.Signal;

/** Main class of an entry instance on the users' platform. */
public final class NodeMain {

  private static final Logger LOG = LogManager.getLogger(NodeMain.class);
  private static final int EXIT_INVALID_SETTINGS = 3;
  private static final int EXIT_START_FAILED = 4;

  private NodeMain() {}

  /**
   * Runs an entry instance until SIGTERM or SIGINT.
   *
   * @param args ignored; the settings file is named by an environment variable
   * @throws InterruptedException if the main thread is interrupted
   */
  public static void main(String[] args) throws InterruptedException {
    FatalErrors.install();
    int status = run();
    LogManager.shutdown();
    Runtime.getRuntime().halt(status);
  }

  private static int run() throws InterruptedException {
    String path = System.getenv(PlatformSettings.PATH_VARIABLE);
    if (path == null) {
      System.err.printf("environment variable \"%s\" is not set%n", PlatformSettings.PATH_VARIABLE);
      return EXIT_INVALID_SETTINGS;
    }
    // SIGHUP ends a process without a handler for it, so the handler is installed first.
    Signal.handle(new Signal("HUP"), signal -> checkSettings(path));
    return switch (read(path)) {
      case Decoded.Value<PlatformSettings> value -> serve(value.value());
      case Decoded.Malformed<PlatformSettings> malformed -> {
        System.err.println(path + ": " + malformed.reason());
        yield EXIT_INVALID_SETTINGS;
      }
    };
  }

  private static Decoded<PlatformSettings> read(String path) {
    try {
      return PlatformSettings.decode(Files.readAllBytes(Path.of(path)));
    } catch (IOException e) {
      return new Decoded.Malformed<>("settings file is not readable: " + e.getMessage());
    }
  }

  private static int serve(PlatformSettings settings) throws InterruptedException {
    try (NodeProcess process = new NodeProcess(settings)) {
      Signal.handle(new Signal("TERM"), signal -> process.stop());
      Signal.handle(new Signal("INT"), signal -> process.stop());
      process.start();
      process.awaitExit();
      return 0;
    } catch (IOException e) {
      LogLine.of("start-failed").error(LOG, e);
      return EXIT_START_FAILED;
    } catch (InterruptedException e) {
      throw e;
    } catch (Exception e) {
      LogLine.of("stop-failed").error(LOG, e);
      return 0;
    }
  }

  /** Reads the settings file and logs whether it is valid; the running process keeps its own. */
  private static void checkSettings(String path) {
    switch (read(path)) {
      case Decoded.Value<PlatformSettings> value ->
          LogLine.of("settings-read").with("instance", value.value().instanceName()).info(LOG);
      case Decoded.Malformed<PlatformSettings> malformed ->
          LogLine.of("settings-malformed").with("why", malformed.reason()).warn(LOG);
    }
  }
}
