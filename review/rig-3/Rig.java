import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Base of the cases that are scripts: the platform's store and machines, workers and clients as
 * stand-ins, and entry instances as processes of their own, started with the command of the deploy
 * file. Ends with status 0 if the rule held, 1 if it was broken and 2 if the case couldn't run.
 */
abstract class Rig {

  /** Limit of a case, in milliseconds, with the end of the processes. */
  private static final long LIMIT_MS = 112_000;

  private static final long HEARTBEAT_MS = 1_500;
  static final String HOST = "queue.example";
  static final String KEY = "key-a";

  /** A start of a run by a worker. */
  record Start(long atMs, Worker worker, String kind, String task, long run, String saved) {}

  /** An end of a run at a worker. */
  record Ended(long atMs, Worker worker, String task, long run, String how, String saved) {}

  /** An answer to a client; status 0 if there was none. */
  record Reply(int status, String body) {
    String state() {
      try {
        return Store.JSON.readTree(body).path("state").asText();
      } catch (IOException e) {
        return "";
      }
    }
  }

  /** An entry instance. */
  static final class Entry {
    final String name;
    int clients;
    int readiness;
    int peers;
    Process process;
    Path settings;

    Entry(String name) {
      this.name = name;
    }
  }

  final Object lock = new Object();
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final Store store = new Store();
  final List<Worker> workers = new ArrayList<>();
  final List<Start> starts = new ArrayList<>();
  final List<Ended> ends = new ArrayList<>();
  final List<Entry> entries = new ArrayList<>();
  final Map<String, ObjectNode> jobs = new HashMap<>();
  private final Set<String> doneGangs = new HashSet<>();
  private final long originNanos = System.nanoTime();
  private final PrintWriter record;
  private final Path folder;
  private final HttpClient client =
      HttpClient.newBuilder().connectTimeout(Duration.ofMillis(1_000)).build();
  private HttpServer machineServer;
  private volatile boolean closing;
  private boolean broken;

  Rig() throws IOException {
    record =
        new PrintWriter(
            Files.newBufferedWriter(Path.of(System.getProperty("case"), "record.txt")), true);
    folder = Files.createTempDirectory("case");
  }

  /** Plays the case and calls {@link #broken} if the rule is broken; false if it couldn't run. */
  abstract boolean play() throws Exception;

  static void run(Rig rig) {
    int status = 2;
    Thread guard =
        Thread.ofPlatform()
            .daemon()
            .start(
                () -> {
                  try {
                    Thread.sleep(LIMIT_MS);
                    rig.log("the time limit is over");
                    rig.close();
                    Runtime.getRuntime().halt(rig.broken ? 1 : 2);
                  } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                  }
                });
    Runtime.getRuntime().addShutdownHook(new Thread(rig::close));
    try {
      boolean played = rig.play();
      status = rig.broken ? 1 : played ? 0 : 2;
    } catch (Exception e) {
      rig.log("failed: " + e);
      e.printStackTrace();
    }
    rig.log("status " + status);
    rig.close();
    guard.interrupt();
    Runtime.getRuntime().halt(status);
  }

  private synchronized void close() {
    if (closing) {
      return;
    }
    closing = true;
    for (Entry entry : entries) {
      if (entry.process != null) {
        entry.process.destroyForcibly();
      }
    }
    for (Entry entry : entries) {
      try {
        if (entry.process != null) {
          entry.process.waitFor(3, TimeUnit.SECONDS);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    String keep = System.getProperty("logs", "");
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        if (!keep.isEmpty() && file.toString().endsWith(".log")) {
          Files.copy(
              file,
              Path.of(keep).resolve(file.getFileName()),
              StandardCopyOption.REPLACE_EXISTING);
        }
        Files.delete(file);
      }
    } catch (IOException e) {
      log("temporary folder: " + e);
    }
  }

  long nowMs() {
    return (System.nanoTime() - originNanos) / 1_000_000;
  }

  void sleepUntil(long ms) throws InterruptedException {
    Thread.sleep(Math.max(0, ms - nowMs()));
  }

  void log(String line) {
    synchronized (record) {
      record.printf("%7d %s%n", nowMs(), line);
    }
  }

  void broken(String what) {
    log("BROKEN " + what);
    System.out.println(what);
    broken = true;
  }

  boolean isBroken() {
    return broken;
  }

  // Store, machines and workers.

  /** Opens the platform: a store with a configuration, and the machines of the workers. */
  void open() throws IOException {
    machineServer = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
    machineServer.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    machineServer.createContext("/", this::serveMachines);
    machineServer.start();
    configure(1, "{\"cpu\":0,\"memMb\":0,\"gpu\":0}");
    Thread.ofPlatform().daemon().start(this::advance);
    Thread.ofPlatform().daemon().start(this::report);
  }

  /**
   * Writes the configuration: a queue on the pool "pool-a" and a tenant without a limit.
   *
   * @param version number of the version
   * @param maximum limit of the tenant
   */
  void configure(long version, String maximum) throws IOException {
    store.write(
        "keyed.op",
        "config",
        Store.JSON.readTree(
            """
            {"version":%d,"routes":[{"name":"r-a","host":"queue.example","pathPrefix":"/q/",
             "type":"unsafe","timeoutMs":3000,"targetCompletionMs":600,"priority":0,
             "upstream":"pool-a","attempts":3,"slackFactor":1.6,"public":false}],
             "upstreams":[{"name":"pool-a","admissionCheck":true}],
             "tenants":[{"name":"tenant-a","apiKeys":["key-a"],"weight":1000,"maximum":%s}]}
            """
                .formatted(version, maximum)));
  }

  private void serveMachines(HttpExchange exchange) throws IOException {
    try (exchange) {
      exchange.getRequestBody().readAllBytes();
      ObjectNode answer = Store.JSON.createObjectNode();
      ArrayNode rows = answer.putArray("machines");
      synchronized (lock) {
        for (Worker worker : workers) {
          ObjectNode row = rows.addObject();
          row.put("machine", "m-" + worker.id).put("pool", worker.pool).put("zone", "zone-a");
          row.put("state", worker.gone ? "down" : "up").put("id", worker.gone ? "" : worker.id);
        }
      }
      answer.putNull("nextToken");
      int status = exchange.getRequestMethod().equals("GET") ? 200 : 400;
      byte[] bytes = answer.toString().getBytes(StandardCharsets.UTF_8);
      exchange.sendResponseHeaders(status, bytes.length);
      exchange.getResponseBody().write(bytes);
    }
  }

  Worker addWorker(String id, String rack, long cpu) throws IOException {
    Worker worker = new Worker(this, id, "pool-a", rack, cpu);
    synchronized (lock) {
      workers.add(worker);
      worker.report();
    }
    return worker;
  }

  private void advance() {
    try {
      while (!closing) {
        synchronized (lock) {
          workers.forEach(Worker::advance);
        }
        Thread.sleep(5);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void report() {
    try {
      while (!closing) {
        Thread.sleep(HEARTBEAT_MS);
        synchronized (lock) {
          workers.stream().filter(w -> !w.gone && !w.cut).forEach(Worker::report);
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  // What workers report; called with the lock held.

  void started(Worker worker, Worker.Run run) {
    starts.add(new Start(nowMs(), worker, worker.kind, run.task, run.run, run.saved));
    log(
        "%s starts %s run %d%s"
            .formatted(
                worker.id, run.task, run.run, run.saved.isEmpty() ? "" : " from " + run.saved));
    onStart(starts.getLast());
  }

  /** Returns whether an order to start gets no answer; called with the lock held. */
  boolean holdsBack(Worker worker, JsonNode order) {
    return false;
  }

  /** Called at each start, with the lock held. */
  void onStart(Start start) {}

  /** Called at each end, with the lock held. */
  void onEnd(Ended end) {}

  void ended(Worker worker, Worker.Run run, String how) {
    ends.add(new Ended(nowMs(), worker, run.task, run.run, how, run.saved));
    log(
        "%s ends %s run %d %s%s"
            .formatted(
                worker.id, run.task, run.run, how, run.saved.isEmpty() ? "" : " saved " + run.saved));
    onEnd(ends.getLast());
  }

  long cpuOf(String task) {
    String[] parts = task.split("\\.");
    ObjectNode job = jobs.get(parts[0]);
    return job == null ? 0 : job.path("steps").path(Integer.parseInt(parts[2])).path("cpu").asLong();
  }

  long present(String gang) {
    return workers.stream()
        .flatMap(w -> w.runs.values().stream())
        .filter(r -> r.gang().equals(gang))
        .count();
  }

  void markGangDone(String gang) {
    doneGangs.add(gang);
  }

  boolean gangDone(String gang) {
    return doneGangs.contains(gang);
  }

  /** Returns a checkpoint; that of a gang is the same for all its members. */
  String newCheckpoint(Worker worker, Worker.Run run) {
    String unit = run.number("gang", 1) > 1 ? "" : run.task + "-";
    return "%s%d-%03d".formatted(unit, run.run, (run.savedMs - run.workingMs) / 1_000);
  }

  // Entry instances.

  private static int freePorts(int count) throws IOException {
    for (int i = 0; i < 100; i++) {
      int first = 20_000 + (int) (Math.random() * 10_000);
      try {
        for (int port = first; port < first + count; port++) {
          new ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close();
        }
        return first;
      } catch (IOException e) {
        // Another port is tried.
      }
    }
    throw new IOException("no ports are free");
  }

  Entry startEntry(String name) throws IOException {
    Entry entry = new Entry(name);
    int port = freePorts(4);
    entry.clients = port;
    entry.readiness = port + 1;
    entry.peers = port + 2;
    ObjectNode settings = Store.JSON.createObjectNode();
    settings.put("nodeName", name).put("role", "entry").put("machineClass", "frontend");
    settings.putArray("serves").add("frontend");
    settings.put("ip", "127.0.0.1").put("zone", "zone-a").put("region", "area-a");
    settings.putObject("zones").put("zone-a", "area-a");
    settings
        .putObject("listen")
        .put("frontend", "127.0.0.1:" + entry.clients)
        .put("readiness", "127.0.0.1:" + entry.readiness);
    settings.putArray("internalPorts").add(entry.peers).add(entry.peers + 1);
    settings.putArray("seeds");
    settings.put("bootstrap", true).putNull("dataDir");
    settings.put("discovery", "platform").put("heartbeatMs", HEARTBEAT_MS).put("orders", "call");
    settings
        .putObject("limits")
        .put("cpuShare", 0.75)
        .put("cores", 1)
        .put("memoryMb", 430)
        .put("maxFds", 4_100)
        .put("linkMbps", 1000.0);
    settings
        .putObject("bounds")
        .put("graceS", 6)
        .put("stableWindowMs", 3_000)
        .put("holdMaxMs", 10_000)
        .put("stopMs", 200)
        .put("gangTimeoutMs", Worker.GANG_TIMEOUT_MS)
        .put("cancel_ms", 3_000)
        .put("visible_ms", 3_000);
    settings
        .putObject("platform")
        .put("address", "127.0.0.1:" + store.open(name))
        .put("form", "log")
        .put("writesPerS", 800)
        .put("readsPerS", 2_000)
        .put("parts", 16)
        .put("recordBytes", 262_144)
        .put("callBytes", 2_097_152)
        .put("keep_s", 300)
        .put("ttlMinMs", 1_000);
    settings
        .putObject("cloudApi")
        .put("address", "127.0.0.1:" + machineServer.getAddress().getPort())
        .put("ratePerS", 64.0)
        .put("dutyPerS", 64.0);
    entry.settings = folder.resolve(name + ".json");
    Files.writeString(entry.settings, settings.toString());
    entries.add(entry);
    startProcess(entry);
    return entry;
  }

  /** Starts the process of an entry instance with the command of the deploy file. */
  void startProcess(Entry entry) throws IOException {
    String line =
        Files.readAllLines(Path.of("deploy/system.toml")).stream()
            .filter(l -> l.startsWith("run = "))
            .findFirst()
            .orElseThrow();
    String command = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
    ProcessBuilder builder = new ProcessBuilder(command.split(" "));
    builder.environment().keySet().retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    builder.environment().put("TOUCANSTALL_SETTINGS", entry.settings.toString());
    builder.redirectErrorStream(true);
    File output = folder.resolve(entry.name + ".log").toFile();
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(output));
    entry.process = builder.start();
    log(entry.name + " is started");
    entry.process
        .onExit()
        .thenAccept(
            p -> {
              if (!closing) {
                log(entry.name + " has ended with status " + p.exitValue());
              }
            });
  }

  void kill(Entry entry) {
    log(entry.name + " is killed");
    entry.process.destroyForcibly();
  }

  /** Sends a signal to an entry instance: STOP, CONT, TERM or HUP. */
  void signal(Entry entry, String name) throws Exception {
    log(entry.name + " gets SIG" + name);
    new ProcessBuilder("kill", "-" + name, Long.toString(entry.process.pid())).start().waitFor();
  }

  /** Returns the entry instance that the store names as the planner, or null. */
  Entry planner() {
    String named = store.value("keyed.planner", "planner");
    return entries.stream().filter(e -> named.contains(e.name)).findFirst().orElse(null);
  }

  boolean awaitReady(long timeoutMs) throws InterruptedException {
    long untilMs = nowMs() + timeoutMs;
    while (nowMs() < untilMs) {
      boolean all =
          entries.stream()
              .allMatch(
                  e -> call("GET", e.readiness, "/-/ready", "", null, 500, false).status() == 200);
      if (all && planner() != null) {
        log("all are ready, " + planner().name + " plans");
        Thread.sleep(1_500);
        return true;
      }
      Thread.sleep(100);
    }
    log("not all are ready");
    return false;
  }

  // Clients.

  Reply call(
      String method, int port, String path, String key, JsonNode body, long timeoutMs, boolean logs) {
    try {
      HttpRequest.Builder request =
          HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
              .timeout(Duration.ofMillis(timeoutMs))
              .header("Host", HOST)
              .header("Deadline-Ms", Long.toString(timeoutMs));
      if (!key.isEmpty()) {
        request.header("Key", key);
      }
      if (body != null) {
        request.header("Content-Type", "application/json");
        request.method(method, HttpRequest.BodyPublishers.ofString(body.toString()));
      } else {
        request.method(method, HttpRequest.BodyPublishers.noBody());
      }
      HttpResponse<String> response =
          client.send(request.build(), HttpResponse.BodyHandlers.ofString());
      Reply reply = new Reply(response.statusCode(), response.body());
      if (logs) {
        log("client: %s %s -> %d %s".formatted(method, path, reply.status, reply.body));
      }
      return reply;
    } catch (IOException e) {
      if (logs) {
        log("client: %s %s -> no answer (%s)".formatted(method, path, e));
      }
      return new Reply(0, "");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Reply(0, "");
    }
  }

  static String id(long number) {
    return "%016x".formatted(0x5c0e7a2100000000L + number);
  }

  /** Returns a job of one step. */
  static ObjectNode job(String text, int count, long cpu, long estimateMs) {
    ObjectNode job = Store.JSON.createObjectNode().put("spec", text);
    job.putArray("steps")
        .addObject()
        .put("count", count)
        .put("cpu", cpu)
        .put("memMb", 100)
        .put("estimateMs", estimateMs);
    return job;
  }

  static ObjectNode step(ObjectNode job) {
    return (ObjectNode) job.path("steps").path(0);
  }

  Reply submit(Entry entry, String id, ObjectNode job) {
    synchronized (lock) {
      jobs.put(id, job);
    }
    return call("POST", entry.clients, "/q/" + id, KEY, job, 3_000, true);
  }

  Reply show(Entry entry, String id) {
    return call("GET", entry.clients, "/q/" + id, KEY, null, 3_000, true);
  }

  Reply cancel(Entry entry, String id) {
    return call("DELETE", entry.clients, "/q/" + id, KEY, null, 3_000, true);
  }

  /** Returns the number of starts of a job's work items. */
  long startsOf(String id) {
    synchronized (lock) {
      return starts.stream().filter(s -> s.task().startsWith(id)).count();
    }
  }
}
