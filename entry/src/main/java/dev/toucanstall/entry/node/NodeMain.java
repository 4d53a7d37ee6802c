package dev.toucanstall.entry.node;

import dev.toucanstall.platform.settings.PlatformSettings;
import dev.toucanstall.runtime.log.LogLine;
import dev.toucanstall.wire.Decoded;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import sun.misc.Signal;

/** Runs an entry instance on the users' platform. */
public final class NodeMain {

  private static final Logger LOG = LogManager.getLogger(NodeMain.class);
  private static final int BAD_SETTINGS = 3;
  private static final int NOT_STARTED = 4;

  private NodeMain() {}

  /**
   * Runs an entry instance until SIGTERM.
   *
   * @param args none
   * @throws InterruptedException if the main thread is interrupted
   */
  public static void main(String[] args) throws InterruptedException {
    int status = run();
    LogManager.shutdown();
    Runtime.getRuntime().halt(status);
  }

  private static int run() throws InterruptedException {
    String path = System.getenv(PlatformSettings.PATH_VARIABLE);
    if (path == null) {
      System.err.printf("environment variable \"%s\" is not set%n", PlatformSettings.PATH_VARIABLE);
      return BAD_SETTINGS;
    }
    // Without a handler this signal ends a process, so it comes first.
    Signal.handle(new Signal("HUP"), signal -> reload(path));
    return switch (read(path)) {
      case Decoded.Value<PlatformSettings> value -> serve(value.value());
      case Decoded.Malformed<PlatformSettings> malformed -> {
        System.err.println(path + ": " + malformed.reason());
        yield BAD_SETTINGS;
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
      return NOT_STARTED;
    } catch (InterruptedException e) {
      throw e;
    } catch (Exception e) {
      LogLine.of("stop-failed").error(LOG, e);
      return 0;
    }
  }

  /** Reads the settings again; what a process uses does not change while it runs. */
  private static void reload(String path) {
    switch (read(path)) {
      case Decoded.Value<PlatformSettings> value ->
          LogLine.of("settings-read").with("instance", value.value().instanceName()).info(LOG);
      case Decoded.Malformed<PlatformSettings> malformed ->
          LogLine.of("settings-malformed").with("why", malformed.reason()).warn(LOG);
    }
  }
}
