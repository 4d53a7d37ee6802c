import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.Stream;

/**
 * Starts the entry instances with the command of the deploy file, the stand-ins beside them, and
 * keeps the record. A case extends it and judges what was sent, answered and run.
 */
abstract class Rig {

  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int NOT_RUN = 2;

  /** Time after which a run ends, whatever it does. */
  private static final long MAX_RUN_MS = 112_000;

  static final String HOST = "queue.example";
  static final String PREFIX = "/q/";
  static final String KEY = "key-1";
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** What a client sent of one work item. */
  record Item(
      String job,
      int step,
      long cpu,
      long workMs,
      boolean lasting,
      boolean gang) {}

  /** The start of a run that a worker has carried out. */
  record Start(String task, long run, String worker, long atMs) {}

  /** An answer to a client. */
  record Answer(int status, String body, long sentMs, long atMs) {}

  final Object lock = new Object();
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final Store store;
  final List<Worker> workers = new ArrayList<>();
  final List<Process> entries = new ArrayList<>();
  final List<String> frontAddresses = new ArrayList<>();
  final List<String> readyAddresses = new ArrayList<>();
  final List<Start> starts = new ArrayList<>();
  final Map<String, JsonNode> jobs = new ConcurrentHashMap<>();
  final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
  private final List<String> breaks = new ArrayList<>();
  private final Path root = Path.of("").toAbsolutePath();
  private final Path temp = Files.createTempDirectory("review");
  private final PrintWriter record;
  private final long originNanos = System.nanoTime();
  private final HttpClient http =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).executor(threads).build();
  final Cloud cloud;
  private volatile boolean closed;

  Rig() throws IOException {
    Path file = Path.of(System.getProperty("case"), "record.txt");
    record = new PrintWriter(Files.newBufferedWriter(file));
    store = new Store(this);
    cloud = new Cloud(this);
    Runtime.getRuntime().addShutdownHook(new Thread(this::endEntries));
  }

  // Record, time, JSON

  long nowMs() {
    return (System.nanoTime() - originNanos) / 1_000_000;
  }

  void log(String text) {
    synchronized (record) {
      record.printf(Locale.ROOT, "%7.3f %s%n", nowMs() / 1000.0, text);
      record.flush();
    }
  }

  void broken(String what) {
    synchronized (breaks) {
      breaks.add(what);
    }
    log("BROKEN " + what);
  }

  ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  JsonNode parse(byte[] body) {
    try {
      JsonNode node = MAPPER.readTree(body);
      return node == null ? MAPPER.missingNode() : node;
    } catch (IOException e) {
      return MAPPER.missingNode();
    }
  }

  byte[] bytes(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  void sleepUntil(long atMs) throws InterruptedException {
    long left = atMs - nowMs();
    if (left > 0) {
      Thread.sleep(left);
    }
  }

  // Workers and what they run

  Worker addWorker(String id, String service, String rack, long cpu) throws IOException {
    return addWorker(id, service, rack, cpu, "m-" + id);
  }

  Worker addWorker(String id, String service, String rack, long cpu, String machine)
      throws IOException {
    Worker worker = new Worker(this, id, service, machine, rack, cpu);
    synchronized (lock) {
      workers.add(worker);
    }
    worker.beat();
    return worker;
  }

  /** Returns what a client sent of a work item, or null if none sent it. */
  Item item(String task) {
    String[] parts = task.split("\\.");
    JsonNode job = jobs.get(parts[0]);
    if (job == null) {
      return null;
    }
    int step = Integer.parseInt(parts[2]);
    JsonNode s = job.path("steps").path(step);
    if (s.isMissingNode() || Integer.parseInt(parts[3]) >= s.path("count").asInt()) {
      return null;
    }
    return new Item(
        parts[0],
        step,
        s.path("cpu").asLong(0),
        s.path("estimateMs").asLong(0),
        s.path("longRunning").asBoolean(false),
        s.path("gang").asBoolean(false));
  }

  /** Returns whether a worker leaves an order to start without an answer, to be carried out late. */
  boolean holdsBack(Worker worker, JsonNode order) {
    return false;
  }

  /** Sets when a run ends by its own work, once it works. */
  void plan(Worker worker, Worker.Run r) {
    if (!r.item.lasting()) {
      r.endAtMs = r.workSinceMs + r.item.workMs();
      r.how = "done";
    }
  }

  void started(Worker worker, Worker.Run r, JsonNode order) {
    for (Worker w : workers) {
      if (w != worker && w.isUp() && w.runs.containsKey(r.task)) {
        broken("TWICE: " + r.task + " runs on " + w.id + " and begins on " + worker.id);
      }
    }
    starts.add(new Start(r.task, r.run, worker.id, nowMs()));
    log("start " + r.task + " run " + r.run + " on " + worker.id);
    if (!order.path("spec").asText().equals(jobs.get(r.item.job()).path("spec").asText())) {
      broken("UNASKED: " + r.task + " was started with another spec");
    }
    joinGang(r);
  }

  private void joinGang(Worker.Run r) {
    if (!r.item.gang()) {
      return;
    }
    String step = r.task.substring(0, r.task.lastIndexOf('.') + 1);
    int count = jobs.get(r.item.job()).path("steps").path(r.item.step()).path("count").asInt();
    List<Worker.Run> present = new ArrayList<>();
    List<Worker> at = new ArrayList<>();
    for (Worker w : workers) {
      for (Worker.Run other : w.runs.values()) {
        if (other.task.startsWith(step) && other.run == r.run) {
          present.add(other);
          at.add(w);
        }
      }
    }
    if (present.size() == count) {
      for (int i = 0; i < count; i++) {
        present.get(i).workSinceMs = nowMs();
        plan(at.get(i), present.get(i));
      }
    }
  }

  void ended(Worker worker, Worker.Run r, String how) {
    log("end " + r.task + " run " + r.run + " on " + worker.id + " " + how);
    if (r.item.gang() && !how.equals("done") && !how.equals("broken") && r.workSinceMs > 0) {
      String step = r.task.substring(0, r.task.lastIndexOf('.') + 1);
      for (Worker w : workers) {
        for (Worker.Run other : List.copyOf(w.runs.values())) {
          if (other != r && other.task.startsWith(step) && other.run == r.run) {
            w.end(other, "broken");
          }
        }
      }
    }
  }

  private void tickWorkers() {
    long nextBeatMs = 0;
    Map<Worker, Long> silentSince = new HashMap<>();
    while (!closed) {
      synchronized (lock) {
        workers.forEach(Worker::tick);
      }
      try {
        cloud.tick();
      } catch (IOException e) {
        log("worker not started: " + e);
      }
      if (nowMs() >= nextBeatMs) {
        nextBeatMs = nowMs() + 1_500;
        for (Worker w : List.copyOf(workers)) {
          if (!w.dark) {
            silentSince.remove(w);
            w.beat();
          } else if (nowMs() - silentSince.computeIfAbsent(w, k -> nowMs()) >= 4_500) {
            silentSince.put(w, Long.MAX_VALUE / 2);
            store.put("keyed.servers", w.id, new byte[0]);
          }
        }
      }
      try {
        Thread.sleep(4);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  // The system's own processes

  /** Returns the first of some free ports that follow one another. */
  private static int freePorts(int count) throws IOException {
    while (true) {
      List<ServerSocket> open = new ArrayList<>();
      try {
        ServerSocket first = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        open.add(first);
        for (int i = 1; i < count; i++) {
          open.add(
              new ServerSocket(first.getLocalPort() + i, 1, InetAddress.getLoopbackAddress()));
        }
        return first.getLocalPort();
      } catch (IOException | IllegalArgumentException e) {
        // Other ports are tried.
      } finally {
        for (ServerSocket socket : open) {
          socket.close();
        }
      }
    }
  }

  /** Changes the settings of a deployment where the case needs others. */
  void changeSettings(ObjectNode settings) {}

  void startEntry(String name) throws IOException {
    int port = freePorts(5);
    ObjectNode s = (ObjectNode) MAPPER.readTree(SETTINGS);
    s.put("nodeName", name).put("ip", "127.0.0.1");
    ((ObjectNode) s.path("listen"))
        .put("frontend", "127.0.0.1:" + port)
        .put("readiness", "127.0.0.1:" + (port + 1))
        .put("control", "127.0.0.1:" + (port + 2));
    s.putArray("internalPorts").add(port + 3).add(port + 4);
    s.putArray("seeds").add("127.0.0.1:" + (port + 2));
    ((ObjectNode) s.path("platform")).put("address", store.address());
    ((ObjectNode) s.path("cloudApi")).put("address", cloud.address());
    changeSettings(s);
    Path settings = temp.resolve(name + ".json");
    Files.write(settings, bytes(s));
    String run =
        Files.readAllLines(root.resolve("deploy/system.toml")).stream()
            .filter(line -> line.startsWith("run = \""))
            .map(line -> line.substring("run = \"".length(), line.length() - 1))
            .findFirst()
            .orElseThrow();
    ProcessBuilder builder = new ProcessBuilder(Arrays.asList(run.split(" ")));
    builder.directory(root.toFile()).redirectErrorStream(true);
    builder.redirectOutput(new File(temp.toFile(), name + ".log"));
    builder.environment().put("TOUCANSTALL_SETTINGS", settings.toString());
    entries.add(builder.start());
    frontAddresses.add("127.0.0.1:" + port);
    readyAddresses.add("127.0.0.1:" + (port + 1));
    log("entry " + name + " starts, process " + entries.getLast().pid());
  }

  /** Waits until each entry instance is ready and a probe job has run; returns false if not. */
  boolean awaitReady() throws InterruptedException {
    for (int i = 0; i < entries.size(); i++) {
      while (get(readyAddresses.get(i), "/-/ready", 1_000).status() != 200) {
        if (nowMs() > 25_000) {
          return false;
        }
        Thread.sleep(100);
      }
    }
    while (count(0) != 0) {
      if (nowMs() > 25_000) {
        return false;
      }
      Thread.sleep(100);
    }
    return true;
  }

  private void endEntries() {
    entries.forEach(Process::destroyForcibly);
    for (Process entry : entries) {
      try {
        entry.waitFor();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    entries.clear();
  }

  // Clients

  Answer get(String address, String path, long timeoutMs) {
    return send(address, "GET", path, null, timeoutMs);
  }

  Answer send(String address, String method, String path, String body, long timeoutMs) {
    long sentMs = nowMs();
    try {
      HttpRequest.Builder request =
          HttpRequest.newBuilder(URI.create("http://" + address + path))
              .timeout(Duration.ofMillis(timeoutMs))
              .header("Host", HOST)
              .header("Key", KEY)
              .header("Deadline-Ms", Long.toString(timeoutMs));
      request.method(
          method,
          body == null
              ? HttpRequest.BodyPublishers.noBody()
              : HttpRequest.BodyPublishers.ofString(body));
      HttpResponse<String> response =
          http.send(request.build(), HttpResponse.BodyHandlers.ofString());
      return new Answer(response.statusCode(), response.body(), sentMs, nowMs());
    } catch (IOException e) {
      return new Answer(0, e.toString(), sentMs, nowMs());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Answer(0, "interrupted", sentMs, nowMs());
    }
  }

  /** Hands a job in, again after no answer as the pages say, and returns the last answer. */
  Answer submit(String id, JsonNode job) {
    return submit(id, job, 5);
  }

  /** Hands a job in with at most some tries. */
  Answer submit(String id, JsonNode job, int tries) {
    jobs.put(id, job);
    Answer answer = null;
    for (int i = 0; i < tries; i++) {
      String front = frontAddresses.get(i % frontAddresses.size());
      answer = send(front, "POST", PREFIX + id, job.toString(), 3_000);
      log("POST " + id + " -> " + answer.status() + " in " + (answer.atMs() - answer.sentMs()));
      if (answer.status() == 200) {
        return answer;
      }
    }
    return answer;
  }

  String state(String id) {
    Answer answer = get(frontAddresses.getLast(), PREFIX + id, 3_000);
    return answer.status() == 200
        ? parse(answer.body().getBytes()).path("state").asText()
        : Integer.toString(answer.status());
  }

  /** Returns {@code queuedJobs} as one entry instance gives it, -1 if it gives none. */
  int count(int entry) {
    Answer answer = get(frontAddresses.get(entry), PREFIX, 3_000);
    return answer.status() == 200
        ? parse(answer.body().getBytes()).path("queuedJobs").asInt(-1)
        : -1;
  }

  ObjectNode job(ObjectNode... steps) {
    ObjectNode job = object().put("spec", "spec");
    ArrayNode array = job.putArray("steps");
    Stream.of(steps).forEach(array::add);
    return job;
  }

  ObjectNode step(int count, long cpu, long workMs) {
    return object().put("count", count).put("cpu", cpu).put("memMb", 64).put("estimateMs", workMs);
  }

  static String id(int number) {
    return String.format(Locale.ROOT, "%016x", 0x5c0e7a2100000000L + number);
  }

  /** Puts the configuration with one queue, one tenant and one pool, or a spare pool as well. */
  void configure(boolean withSparePool) {
    String text = CONFIG.replace("SPARE", withSparePool ? SPARE_POOL : "");
    store.put("keyed.op", "config", text.getBytes(StandardCharsets.UTF_8));
  }

  // Course of a case

  /** Does the case; returns false if it could not run. */
  abstract boolean play() throws Exception;

  static void run(Rig rig) throws Exception {
    int status = NOT_RUN;
    Thread.ofPlatform().daemon().start(rig::endInTime);
    try {
      rig.log(rig.trouble ? "with the disruption" : "TROUBLE=0: without the disruption");
      rig.threads.submit(rig::tickWorkers);
      if (rig.play()) {
        status = rig.breaks.isEmpty() ? HELD : BROKEN;
      }
      rig.log(status == HELD ? "HELD" : status == BROKEN ? "RULE BROKEN" : "COULD NOT RUN");
    } catch (Exception e) {
      rig.log("failed: " + e);
      e.printStackTrace();
    }
    rig.end(status);
  }

  /** Ends the run before it takes too long, with what has been seen until then. */
  private void endInTime() {
    try {
      sleepUntil(MAX_RUN_MS);
    } catch (InterruptedException e) {
      return;
    }
    synchronized (breaks) {
      log(breaks.isEmpty() ? "COULD NOT RUN in time" : "RULE BROKEN, ended for its length");
    }
    end(breaks.isEmpty() ? NOT_RUN : BROKEN);
  }

  /** Ends all processes, removes the temporary folder and ends this process. */
  private synchronized void end(int status) {
    closed = true;
    endEntries();
    if (System.getenv("KEEP") != null) {
      System.err.println(temp);
    } else {
      try (Stream<Path> files = Files.walk(temp)) {
        files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
      } catch (IOException e) {
        log("temporary folder not removed: " + e);
      }
    }
    Runtime.getRuntime().halt(status);
  }

  private static final String CONFIG =
      """
      {"version":1,"routes":[{"name":"q","host":"queue.example","pathPrefix":"/q/","type":"unsafe",
       "timeoutMs":3000,"targetCompletionMs":600,"priority":0,"upstream":"pool-a","attempts":3,
       "slackFactor":1.6,"public":false}],
       "upstreams":[{"name":"pool-a","healthCheck":"/health","maxConns":64,"protocol":"h1",
       "tls":false,"admissionCheck":true,"standby":false}SPARE],
       "limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,
       "idleTimeoutMs":15000},
       "tenants":[{"name":"t-1","apiKeys":["key-1"],"priority":1,"weight":40,
       "maximum":{"cpu":0,"memMb":0,"gpu":0}}]}
      """;

  private static final String SPARE_POOL =
      """
      ,{"name":"pool-z","healthCheck":"/health","maxConns":64,"protocol":"h1",
       "tls":false,"admissionCheck":true,"standby":true}
      """;

  private static final String SETTINGS =
      """
      {"nodeName":"","role":"entry","machineClass":"frontend","serves":["frontend"],"ip":"",
       "zone":"zone-a","region":"region-a","zones":{"zone-a":"region-a"},"listen":{},
       "internalPorts":[],"seeds":[],"bootstrap":true,"countsAsLoss":false,
       "limits":{"cpuShare":0.75,"cores":1,"memoryMb":430,"maxFds":4100,"linkMbps":1000.0,
       "diskMb":0},"dataDir":null,"discovery":"platform","entry":"vip","heartbeatMs":1500,
       "invariants":["base","drain","config","cost","recover","sched","tenants","quota","platform",
       "advice","upkeep","sharing"],"faultTolerance":{"machines":2,"zones":0,"regions":0},
       "bounds":{"stableWindowMs":3000,"ackTimeoutMs":4000,"drainMs":2000,"graceS":6,
       "configApplyMs":2000,"holdMaxMs":10000,"stopMs":400,"gangTimeoutMs":3000,"cancel_ms":3000,
       "visible_ms":3000,"early_ms":250,"finish_s":14,"status_s":120,"enforceFencing":true,
       "leaseMs":3000},"orders":"call",
       "platform":{"address":"","form":"log","writesPerS":600,"readsPerS":2000,"parts":16,
       "appendMs":3.0,"partMbS":20.0,"readMbS":80.0,"recordBytes":262144,"callBytes":2097152,
       "keep_s":20,"partMb":200,"ttlMinMs":1000},
       "cloudApi":{"address":"","ratePerS":64.0,"duties":[],"dutyPerS":64.0}}
      """;
}
