package dev.toucanstall.testbed.soak;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * One entry instance as a process, with its settings, hosts file and log. It ends with this JVM.
 * One thread at a time may use it.
 */
final class EntryProcess implements AutoCloseable {

  private static final String MAIN = "dev.toucanstall.entry.node.NodeMain";
  private static final long SIGNAL_SECONDS = 5;
  private static final int PORTS = 4;

  /** First port that a process may listen on. */
  static final int FIRST_PORT = 20_000;

  /** End of these ports; systems take higher ones for outgoing connections. */
  static final int END_PORT = 32_000;

  private static final List<String> JVM_FLAGS =
      List.of(
          "-Xmx128m",
          "-Xss256k",
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-Dtoucanstall.log.target=SYSTEM_OUT",
          "--sun-misc-unsafe-memory-access=allow");

  private static final String SETTINGS =
      """
      {"role":"entry","machineClass":"frontend","serves":["frontend"],"region":"region-a",
       "zone":"zone-a","zones":{"zone-a":"region-a"},"ip":"127.0.0.1","seeds":[],
       "bootstrap":true,"countsAsLoss":false,
       "limits":{"cpuShare":0.75,"cores":1,"memoryMb":430,"maxFds":4100,"linkMbps":1000.0,
        "diskMb":0},
       "dataDir":null,"discovery":"platform","entry":"vip","heartbeatMs":1500,
       "bounds":{"stableWindowMs":3000,"ackTimeoutMs":4000,"drainMs":2000,"graceS":6,
        "holdMaxMs":10000,"stopMs":400,"cancel_ms":3000,"visible_ms":3000,"finish_s":14,
        "status_s":120,"moveS":1.5,"upkeepS":2,"enforceFencing":true,"leaseMs":3000},
       "orders":"call",
       "platform":{"form":"log","writesPerS":600,"readsPerS":2000,"parts":16,"appendMs":3.0,
        "partMbS":20.0,"readMbS":80.0,"recordBytes":262144,"callBytes":2097152,"keep_s":300,
        "partMb":200,"ttlMinMs":1000},
       "cloudApi":{"ratePerS":64.0,"duties":[],"dutyPerS":64.0}}
      """;

  private final String name;
  private final ProcessBuilder builder;
  private final int clientPort;
  private final int readinessPort;
  private volatile @Nullable Process process;

  /**
   * Writes the files of an entry instance; {@link #start} starts it.
   *
   * @param number number of the instance, from 0
   * @param folder folder of its files
   * @param java path of the Java launcher
   * @param classPath class path of the entry instance
   * @param servers number of backend servers
   * @param proxyPort port of the proxies to the store and the backend servers
   * @throws IOException if a file can't be written
   */
  EntryProcess(int number, Path folder, String java, String classPath, int servers, int proxyPort)
      throws IOException {
    name = "entry-" + number;
    int port = freePorts(PORTS);
    clientPort = port;
    readinessPort = port + 1;
    ObjectNode settings = (ObjectNode) StoreRules.JSON.readTree(SETTINGS);
    settings.put("nodeName", name);
    settings
        .putObject("listen")
        .put("frontend", "127.0.0.1:" + port)
        .put("readiness", "127.0.0.1:" + readinessPort);
    settings.putArray("internalPorts").add(port + 2).add(port + 3);
    String store = FaultProxy.host(number, FaultRules.STORE) + ":" + proxyPort;
    settings.withObjectProperty("platform").put("address", store);
    settings.withObjectProperty("cloudApi").put("address", store);
    Path file = folder.resolve(name + ".json");
    Files.writeString(file, settings.toPrettyString());
    Path hosts = folder.resolve(name + ".hosts");
    List<String> lines = new ArrayList<>();
    for (int i = 0; i < servers; i++) {
      lines.add("%s w%d.soak".formatted(FaultProxy.host(number, i + 1), i));
    }
    Files.write(hosts, lines);
    List<String> command = new ArrayList<>();
    command.add(java);
    command.addAll(JVM_FLAGS);
    command.addAll(List.of("-Djdk.net.hosts.file=" + hosts, "-cp", classPath, MAIN));
    builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    builder.environment().put("TOUCANSTALL_SETTINGS", file.toString());
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  /**
   * Returns the first of some ports in a row that are free on 127.0.0.1, below those that systems
   * take for outgoing connections: one of these may be taken while a process starts again.
   */
  static int freePorts(int count) throws IOException {
    InetAddress host = InetAddress.getByName("127.0.0.1");
    while (true) {
      List<ServerSocket> held = new ArrayList<>();
      try {
        int first = ThreadLocalRandom.current().nextInt(FIRST_PORT, END_PORT - count);
        for (int i = 0; i < count; i++) {
          held.add(new ServerSocket(first + i, 1, host));
        }
        return first;
      } catch (IOException e) {
        // Another process uses one of the ports; others are tried.
      } finally {
        for (ServerSocket socket : held) {
          socket.close();
        }
      }
    }
  }

  String clientUrl() {
    return "http://127.0.0.1:" + clientPort;
  }

  String readinessUrl() {
    return "http://127.0.0.1:" + readinessPort + "/-/ready";
  }

  /** Starts the process; returns false if it runs. */
  boolean start() throws IOException {
    Process before = process;
    if (before != null && before.isAlive()) {
      return false;
    }
    process = builder.start();
    return true;
  }

  /** Kills the process, also one that is frozen; returns false if it did not run. */
  boolean kill() throws InterruptedException {
    Process running = process;
    if (running == null || !running.isAlive()) {
      return false;
    }
    running.destroyForcibly().waitFor();
    return true;
  }

  /** Sends a signal, such as STOP or CONT; returns false if the process does not run. */
  boolean signal(String signal) throws IOException, InterruptedException {
    Process running = process;
    return running != null
        && running.isAlive()
        && new ProcessBuilder("kill", "-" + signal, Long.toString(running.pid()))
            .inheritIO()
            .start()
            .waitFor(SIGNAL_SECONDS, TimeUnit.SECONDS);
  }

  @Override
  public void close() {
    Process running = process;
    if (running != null) {
      running.destroyForcibly();
    }
  }
}
