package dev.toucanstall.testbed;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import dev.toucanstall.core.model.Address;
import dev.toucanstall.testbed.platform.PlatformServer;
import java.io.IOException;
import java.time.Duration;

/** Runs the stand-in for the platform as a process. */
public final class PlatformMain {

  @Parameter(names = "--address", description = "Where it listens, host:port")
  private String address = "127.0.0.1:7000";

  @Parameter(names = "--retention", description = "How many records the log keeps")
  private int retention = 100_000;

  @Parameter(names = "--list-lag-ms", description = "How far the instance list lags behind")
  private long listLagMillis = 500;

  private PlatformMain() {}

  /**
   * Runs until the process ends.
   *
   * @param args command-line options
   * @throws IOException if the address is in use
   * @throws InterruptedException if the main thread is interrupted
   */
  public static void main(String[] args) throws IOException, InterruptedException {
    PlatformMain main = new PlatformMain();
    JCommander.newBuilder().addObject(main).build().parse(args);
    try (PlatformServer server =
        new PlatformServer(
            Address.parse(main.address), main.retention, Duration.ofMillis(main.listLagMillis))) {
      System.out.println("platform listens at " + main.address);
      server.awaitStop();
    }
  }
}
