package dev.toucanstall.testbed;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import dev.toucanstall.testbed.worker.WorkersServer;
import java.io.IOException;

/** Runs stand-ins for backend servers as a process. */
public final class WorkersMain {

  @Parameter(names = "--host", description = "The IP number")
  private String host = "127.0.0.1";

  @Parameter(names = "--control-port", description = "The port for faults and the ledger")
  private int controlPort = 7100;

  @Parameter(names = "--first-port", description = "The port of the first backend server")
  private int firstPort = 7101;

  @Parameter(names = "--prefix", description = "The start of the instances' names")
  private String prefix = "w";

  @Parameter(names = "--count", description = "How many backend servers")
  private int count = 10;

  @Parameter(names = "--slots", description = "Requests that each runs at once")
  private int slots = 8;

  @Parameter(names = "--per-rack", description = "Backend servers in a rack")
  private int perRack = 4;

  @Parameter(names = "--datacentre", description = "The data centre")
  private String datacentre = "dc1";

  @Parameter(names = "--platform", description = "The URL of the platform")
  private String platform = "http://127.0.0.1:7000";

  @Parameter(names = "--service-ms", description = "How long a request runs")
  private long serviceMillis = 20;

  private WorkersMain() {}

  /**
   * Runs until the process ends.
   *
   * @param args command-line options
   * @throws IOException if an address is in use
   * @throws InterruptedException if the main thread is interrupted
   */
  public static void main(String[] args) throws IOException, InterruptedException {
    WorkersMain main = new WorkersMain();
    JCommander.newBuilder().addObject(main).build().parse(args);
    try (WorkersServer server = new WorkersServer(main.layout())) {
      System.out.println("%d workers listen".formatted(main.count));
      server.awaitStop();
    }
  }

  private WorkersServer.Layout layout() {
    return new WorkersServer.Layout(
        host,
        controlPort,
        firstPort,
        prefix,
        count,
        slots,
        perRack,
        datacentre,
        platform,
        serviceMillis);
  }
}
