import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.URLDecoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-ins for the platform, the workers and the clients, and a launcher of entry processes. All
 * addresses are loopback addresses; the clock is the real one.
 */
final class Lab {
  static final ObjectMapper JSON = new ObjectMapper();
  static final int RECORD_BYTES = 262_144;
  static final int CALL_BYTES = 2_097_152;
  static final int HOLD_MAX_MS = 10_000;
  static final String KEY = "key-of-tenant-one";

  private Lab() {}

  /** Ends the process with the status of a case, or with 2 if the case could not run. */
  static void exitWith(Callable<Integer> play) {
    int status = 2;
    try {
      status = play.call();
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(status);
  }

  /** Returns whether the disruption of the case is to take place. */
  static boolean hasTrouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  /** Writes what is sent, answered and run, with the time since the start. */
  static final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Record(Path file) throws IOException {
      out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void add(String format, Object... values) {
      out.printf("%9.3f ", seconds());
      out.println(String.format(format, values));
    }

    double seconds() {
      return (System.nanoTime() - startNanos) / 1e9;
    }

    @Override
    public synchronized void close() {
      out.close();
    }
  }

  record Reply(int status, byte[] body) {
    static Reply of(int status, JsonNode body) {
      return new Reply(status, body.toString().getBytes(StandardCharsets.UTF_8));
    }
  }

  /** Answers a call; null closes the connection without an answer. */
  interface Service {
    Reply answer(String path, Map<String, String> query, Map<String, String> headers, byte[] body)
        throws Exception;
  }

  static HttpServer serve(int port, Service service) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 256);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext("/", exchange -> handle(exchange, service));
    server.start();
    return server;
  }

  private static void handle(HttpExchange exchange, Service service) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    Map<String, String> query = new HashMap<>();
    String raw = exchange.getRequestURI().getRawQuery();
    if (raw != null) {
      for (String part : raw.split("&")) {
        int eq = part.indexOf('=');
        query.put(part.substring(0, eq), URLDecoder.decode(part.substring(eq + 1), StandardCharsets.UTF_8));
      }
    }
    Map<String, String> headers = new HashMap<>();
    exchange.getRequestHeaders().forEach((n, v) -> headers.put(n.toLowerCase(), v.getFirst()));
    Reply reply;
    try {
      reply = service.answer(exchange.getRequestURI().getPath(), query, headers, body);
    } catch (Exception e) {
      reply = new Reply(500, e.toString().getBytes(StandardCharsets.UTF_8));
    }
    if (reply == null) {
      exchange.close();
      return;
    }
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(reply.status(), reply.body().length == 0 ? -1 : reply.body().length);
    if (reply.body().length > 0) {
      exchange.getResponseBody().write(reply.body());
    }
    exchange.close();
  }

  static int freePorts(int count) throws IOException {
    while (true) {
      int first;
      try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
        first = socket.getLocalPort();
      }
      List<ServerSocket> held = new ArrayList<>();
      try {
        for (int i = 0; i < count; i++) {
          held.add(new ServerSocket(first + i, 1, InetAddress.getByName("127.0.0.1")));
        }
        return first;
      } catch (IOException | IllegalArgumentException e) {
        // Another process uses one of the ports; try others.
      } finally {
        for (ServerSocket socket : held) {
          socket.close();
        }
      }
    }
  }

  /** The platform: log service, list of machines, orders for machines. */
  static final class Platform implements Service {
    private static final class Producer {
      long epoch = -1;
      long sequence = -1;
      final TreeMap<Long, Reply> last = new TreeMap<>();
    }

    private static final class Topic {
      final List<byte[]> records = new ArrayList<>();
      final TreeMap<String, Integer> newest = new TreeMap<>();
      final Map<String, Producer> producers = new HashMap<>();
    }

    private static final class Machine {
      String pool;
      String state = "up";
      long fence = -1;
      int wave = -1;
      Worker worker;
    }

    final Record record;
    final int port;
    private final Map<String, Topic> topics = new HashMap<>();
    private final LinkedHashMap<String, Long> members = new LinkedHashMap<>();
    private String holder = "";
    private long generation = 1;
    final TreeMap<String, Machine> machines = new TreeMap<>();
    volatile boolean down;
    volatile long appendsRefusedForSize;
    /** Time that a list of machines takes. */
    private static final int LIST_MS = 50;
    private static final int LATE_MIN_MS = 2_000;
    private static final int LATE_MAX_MS = 12_000;
    /** Whether the next order to maintain a machine gets no answer and is carried out late. */
    volatile boolean holdUpNextUpkeep;
    /** Name of the entry instance whose order is held up, empty if none was. */
    volatile String heldUpBy = "";
    volatile boolean carriedOut;
    volatile int wavesMaximum = Integer.MAX_VALUE;
    volatile int limitBroken;

    Platform(Record record) throws IOException {
      this.record = record;
      port = freePorts(1);
      serve(port, this);
    }

    String address() {
      return "127.0.0.1:" + port;
    }

    synchronized void put(String topic, String key, byte[] value) {
      byte[] name = key.getBytes(StandardCharsets.UTF_8);
      ByteBuffer rec = ByteBuffer.allocate(1 + name.length + value.length);
      rec.put((byte) name.length).put(name).put(value);
      store(topic(topic), rec.array());
      notifyAll();
    }

    void put(String topic, String key, JsonNode value) {
      put(topic, key, value.toString().getBytes(StandardCharsets.UTF_8));
    }

    private Topic topic(String name) {
      return topics.computeIfAbsent(name, n -> new Topic());
    }

    private static void store(Topic topic, byte[] rec) {
      int length = Byte.toUnsignedInt(rec[0]);
      String key = new String(rec, 1, length, StandardCharsets.UTF_8);
      topic.records.add(rec);
      if (rec.length > 1 + length) {
        topic.newest.put(key, topic.records.size() - 1);
      } else {
        topic.newest.remove(key);
      }
    }

    @Override
    public Reply answer(
        String path, Map<String, String> query, Map<String, String> headers, byte[] body)
        throws Exception {
      if (down) {
        return Reply.of(503, JSON.createObjectNode());
      }
      return switch (path) {
        case "/-/log-append" -> append(query, body);
        case "/-/log-read" -> read(query);
        case "/-/log-newest" -> newest(query);
        case "/-/log-join" -> join(JSON.readTree(body));
        case "/-/log-leave" -> leave(JSON.readTree(body));
        case "/-/machines" -> {
          Thread.sleep(LIST_MS);
          yield listMachines();
        }
        case "/-/machine-upkeep" -> upkeep(headers, JSON.readTree(body));
        case "/-/machine-move" -> move(headers, JSON.readTree(body));
        default -> Reply.of(404, JSON.createObjectNode());
      };
    }

    private synchronized Reply append(Map<String, String> query, byte[] body) {
      if (query.get("topic").equals("keyed.op") || query.get("topic").equals("keyed.servers")) {
        return Reply.of(403, JSON.createObjectNode());
      }
      List<byte[]> records = new ArrayList<>();
      long total = 0;
      ByteBuffer in = ByteBuffer.wrap(body);
      while (in.hasRemaining()) {
        byte[] rec = new byte[in.getInt()];
        in.get(rec);
        records.add(rec);
        total += rec.length;
        if (rec.length > RECORD_BYTES) {
          appendsRefusedForSize++;
          record.add("store: append refused, record of %d bytes is over %d", rec.length, RECORD_BYTES);
          return Reply.of(413, JSON.createObjectNode());
        }
      }
      if (total > CALL_BYTES) {
        appendsRefusedForSize++;
        record.add("store: append refused, call of %d bytes is over %d", total, CALL_BYTES);
        return Reply.of(413, JSON.createObjectNode());
      }
      Topic topic = topic(query.get("topic"));
      ObjectNode answer = JSON.createObjectNode();
      Producer producer = null;
      long epoch = 0;
      long sequence = 0;
      if (query.containsKey("producer")) {
        producer = topic.producers.computeIfAbsent(query.get("producer"), p -> new Producer());
        epoch = Long.parseLong(query.getOrDefault("epoch", "0"));
        sequence = Long.parseLong(query.getOrDefault("sequence", "0"));
        if (epoch < producer.epoch) {
          return Reply.of(409, answer.put("reason", "fenced"));
        }
        boolean known = epoch == producer.epoch && producer.sequence >= 0;
        if (!records.isEmpty() && known) {
          Reply repeated = producer.last.get(sequence);
          if (repeated != null) {
            return repeated;
          }
          if (sequence != producer.sequence + 1) {
            return Reply.of(
                409, answer.put("reason", "seq").put("expected", producer.sequence + 1));
          }
        }
      }
      int end = topic.records.size();
      if (query.containsKey("at") && Long.parseLong(query.get("at")) != end) {
        return Reply.of(412, answer.put("end", end));
      }
      records.forEach(rec -> store(topic, rec));
      Reply reply = Reply.of(200, answer.put("offset", end).put("end", topic.records.size()));
      if (producer != null) {
        if (epoch > producer.epoch) {
          producer.epoch = epoch;
          producer.sequence = -1;
          producer.last.clear();
        }
        if (!records.isEmpty()) {
          producer.sequence = sequence;
          producer.last.put(sequence, reply);
          if (producer.last.size() > 5) {
            producer.last.pollFirstEntry();
          }
        }
      }
      notifyAll();
      return reply;
    }

    private synchronized Reply read(Map<String, String> query) throws InterruptedException {
      Topic topic = topic(query.get("topic"));
      int from = Integer.parseInt(query.get("from"));
      long until = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
      while (topic.records.size() <= from && System.nanoTime() < until) {
        wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
      }
      List<byte[]> found = new ArrayList<>();
      int bytes = 0;
      for (int i = from; i < topic.records.size() && bytes < 1 << 20; i++) {
        found.add(topic.records.get(i));
        bytes += 4 + topic.records.get(i).length;
      }
      ByteBuffer out = ByteBuffer.allocate(16 + bytes);
      out.putLong(topic.records.size()).putLong(0);
      found.forEach(rec -> out.putInt(rec.length).put(rec));
      return new Reply(200, out.array());
    }

    private synchronized Reply newest(Map<String, String> query) {
      Topic topic = topic(query.get("topic"));
      String after = query.get("dependsOn");
      ObjectNode answer = JSON.createObjectNode();
      ArrayNode items = answer.putArray("items");
      int bytes = 0;
      boolean more = false;
      for (Map.Entry<String, Integer> e :
          (after == null ? topic.newest : topic.newest.tailMap(after, false)).entrySet()) {
        byte[] rec = topic.records.get(e.getValue());
        if (items.size() == 500 || (bytes > 0 && bytes + rec.length > 1 << 20)) {
          more = true;
          break;
        }
        bytes += rec.length;
        byte[] value = Arrays.copyOfRange(rec, 1 + Byte.toUnsignedInt(rec[0]), rec.length);
        items.addObject().put("key", e.getKey()).put("value", Base64.getEncoder().encodeToString(value)).put("offset", e.getValue());
      }
      return Reply.of(200, answer.put("hasMore", more).put("end", topic.records.size()));
    }

    private synchronized Reply join(JsonNode body) {
      long now = System.nanoTime() / 1_000_000;
      String member = body.path("member").asText();
      members.put(member, now + body.path("ttlMs").asLong());
      expireMembers(now);
      ObjectNode answer = JSON.createObjectNode().put("generation", generation);
      ArrayNode parts = answer.putArray("parts");
      if (member.equals(holder)) {
        body.path("topics").forEach(t -> parts.addArray().add(t.asText()).add(0).add(0));
      }
      return Reply.of(200, answer);
    }

    private void expireMembers(long now) {
      if (members.values().removeIf(until -> until < now) || !members.containsKey(holder)) {
        if (!members.containsKey(holder)) {
          holder = members.isEmpty() ? "" : members.keySet().iterator().next();
        }
        generation++;
      }
    }

    private synchronized Reply leave(JsonNode body) {
      members.remove(body.path("member").asText());
      expireMembers(System.nanoTime() / 1_000_000);
      return Reply.of(200, JSON.createObjectNode());
    }

    /** Returns the name of the planner, as it names itself in its orders. */
    synchronized String plannerName() {
      Topic topic = topic("keyed.planner");
      Integer offset = topic.newest.get("planner");
      return offset == null ? "" : new String(topic.records.get(offset), StandardCharsets.ISO_8859_1);
    }

    synchronized void addMachine(String name, Worker worker) {
      Machine machine = new Machine();
      machine.pool = worker.service;
      machine.worker = worker;
      machines.put(name, machine);
    }

    private synchronized Reply listMachines() {
      ObjectNode answer = JSON.createObjectNode();
      ArrayNode rows = answer.putArray("machines");
      machines.forEach(
          (name, m) ->
              rows.addObject().put("machine", name).put("pool", m.pool).put("state", m.state)
                  .put("zone", "zone-a").put("id", m.worker == null ? "" : m.worker.id));
      return Reply.of(200, answer.putNull("nextToken"));
    }

    private Reply move(Map<String, String> headers, JsonNode body) {
      return Reply.of(400, JSON.createObjectNode());
    }

    private Reply upkeep(Map<String, String> headers, JsonNode body) throws InterruptedException {
      String name = body.path("machine").asText();
      String by = headers.get("duty-holder");
      long fence = Long.parseLong(headers.get("fencing-token"));
      int wave = body.path("wave").asInt();
      if (holdUpNextUpkeep) {
        holdUpNextUpkeep = false;
        record.add("cloud: upkeep of %s ordered by %s fence %d, held up without an answer", name, by, fence);
        heldUpBy = by;
        Thread.ofVirtual().start(() -> carryOutLate(name, by, fence, wave));
        Thread.sleep(LATE_MAX_MS);
        return null;
      }
      return begin(name, by, fence, wave, "at once");
    }

    /** Carries an order out 2 to 12 s after it came: while another machine is away, if one is. */
    private void carryOutLate(String name, String by, long fence, int wave) {
      try {
        Thread.sleep(LATE_MIN_MS);
        for (int ms = LATE_MIN_MS; ms < LATE_MAX_MS && away(wave) == 0; ms += 20) {
          Thread.sleep(20);
        }
        begin(name, by, fence, wave, "late");
        carriedOut = true;
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    private synchronized long away(int wave) {
      return machines.values().stream()
          .filter(m -> m.wave == wave && m.state.equals("upkeep"))
          .count();
    }

    private synchronized Reply begin(String name, String by, long fence, int wave, String when) {
      Machine machine = machines.get(name);
      ObjectNode answer = JSON.createObjectNode();
      if (machine == null) {
        return Reply.of(400, answer);
      }
      if (fence < machine.fence) {
        record.add("cloud: upkeep of %s by %s fence %d (%s) refused: fence %d was seen", name, by, fence, when, machine.fence);
        return Reply.of(409, answer.put("reason", "fence"));
      }
      machine.fence = fence;
      if (machine.wave == wave) {
        return Reply.of(200, answer);
      }
      if (!machine.state.equals("up")) {
        return Reply.of(409, answer.put("reason", "busy"));
      }
      long away = away(wave);
      record.add("cloud: upkeep of %s by %s fence %d begins (%s), %d others of the wave are down, maximum %d", name, by, fence, when, away, wavesMaximum);
      if (away >= wavesMaximum) {
        limitBroken++;
        record.add("LIMIT broken: upkeep of %s begins while %d machines of wave %d are down", name, away, wave);
      }
      machine.wave = wave;
      machine.state = "upkeep";
      Worker old = machine.worker;
      machine.worker = null;
      old.end("its machine has its upkeep");
      Thread.ofVirtual().start(() -> {
        try {
          Thread.sleep(2_000);
          Worker next = new Worker(this, old.service, old.cpu);
          synchronized (this) {
            machine.worker = next;
            machine.state = "up";
          }
          record.add("cloud: %s is up again", name);
        } catch (Exception e) {
          record.add("cloud: %s", e);
        }
      });
      return Reply.of(200, answer);
    }
  }

  /** One worker. The spec of a job says how long its work items take: "ms=200 cpu=100". */
  static final class Worker implements Service {
    private record Run(String task, long run, long cpu, long endMs) {}

    private record End(long number, String task, long run, String how) {}

    private static final Pattern MS = Pattern.compile("ms=(\\d+)");
    private static final Pattern CPU = Pattern.compile("cpu=(\\d+)");
    private static long lastId = 0x7f3a91c0L;

    final Platform platform;
    final Record record;
    final String service;
    final String id;
    final long cpu;
    final int port;
    final long born = System.currentTimeMillis();
    private final long startNanos = System.nanoTime() - 1_000_000_000L;
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final Map<String, Long> highest = new HashMap<>();
    private final List<End> ends = new ArrayList<>();
    private final HttpServer server;
    private long lastEnd;
    private long fence;
    private long deadlineMs;
    private long sequence;
    private volatile boolean gone;
    static final Map<String, Integer> STARTS = new ConcurrentHashMap<>();
    static final Map<String, String> DONE = new ConcurrentHashMap<>();
    /** Time at which a work item of a job was last at work. */
    static final Map<String, Double> LAST_RUNNING = new ConcurrentHashMap<>();
    static volatile int lapsed;

    Worker(Platform platform, String service, long cpu) throws IOException {
      this.platform = platform;
      this.record = platform.record;
      this.service = service;
      this.cpu = cpu;
      synchronized (Worker.class) {
        id = "i-" + Long.toHexString(++lastId);
      }
      port = freePorts(1);
      server = serve(port, this);
      Thread.ofVirtual().start(this::live);
    }

    private long clock() {
      return (System.nanoTime() - startNanos) / 1_000_000;
    }

    private void live() {
      try {
        long nextReport = 0;
        while (!gone) {
          if (clock() >= nextReport) {
            nextReport = clock() + 1_500;
            report();
          }
          advance();
          Thread.sleep(5);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    private void report() {
      ObjectNode entry = JSON.createObjectNode();
      entry.put("upstream", service).put("address", "127.0.0.1:" + port).put("zone", "zone-a");
      entry.put("version", "v1").put("slots", 8).put("state", "ready").put("coldRemainingMs", 0);
      entry.put("sequence", ++sequence).put("born", born).put("clockMs", clock());
      entry.putObject("capacity").put("cpu", cpu).put("memMb", 131_072).put("gpu", 0);
      entry.putArray("labels").add("a").add("r1-1");
      platform.put("keyed.servers", id, entry);
    }

    private synchronized void advance() {
      long now = clock();
      List.copyOf(running.values()).stream()
          .filter(r -> now >= r.endMs())
          .forEach(r -> finish(r, "done"));
      if (!running.isEmpty() && now > deadlineMs) {
        record.add("worker %s: the lease has lapsed, %d work items are killed", id, running.size());
        lapsed += running.size();
        List.copyOf(running.values()).forEach(r -> finish(r, "lapsed"));
      }
      running.values().forEach(r -> LAST_RUNNING.put(job(r.task()), record.seconds()));
    }

    private static String job(String task) {
      return task.substring(0, task.indexOf('.'));
    }

    private synchronized void finish(Run run, String how) {
      running.remove(run.task());
      ends.add(new End(++lastEnd, run.task(), run.run(), how));
      highest.merge(run.task(), run.run(), Math::max);
      if (how.equals("done")) {
        DONE.put(run.task(), id);
      }
      notifyAll();
    }

    /** Ends the worker: everything that runs on it ends. */
    void end(String why) {
      gone = true;
      server.stop(0);
      platform.put("keyed.servers", id, new byte[0]);
      record.add("worker %s ends: %s", id, why);
    }

    @Override
    public Reply answer(
        String path, Map<String, String> query, Map<String, String> headers, byte[] body)
        throws Exception {
      String expected = headers.get("expect-instance");
      if (expected != null && !expected.equals(id)) {
        return Reply.of(421, JSON.createObjectNode());
      }
      JsonNode order = JSON.readTree(body);
      return switch (path) {
        case "/-/run-start" -> start(order);
        case "/-/run-stop" -> stop(order);
        case "/-/hold" -> hold(order);
        default -> Reply.of(404, JSON.createObjectNode());
      };
    }

    private ObjectNode clockBody() {
      return JSON.createObjectNode().put("clockMs", clock()).put("born", born);
    }

    private Reply reject(String reason) {
      return Reply.of(409, clockBody().put("reason", reason));
    }

    private boolean stale(JsonNode order) {
      long token = order.path("fencingToken").asLong(0);
      if (token < fence) {
        return true;
      }
      fence = token;
      return false;
    }

    private void extend(JsonNode order) {
      deadlineMs = Math.max(deadlineMs, Math.min(order.path("deadlineMs").asLong(0), clock() + HOLD_MAX_MS));
    }

    private static long number(Pattern pattern, String text, long otherwise) {
      Matcher matcher = pattern.matcher(text);
      return matcher.find() ? Long.parseLong(matcher.group(1)) : otherwise;
    }

    private synchronized Reply start(JsonNode order) {
      if (stale(order)) {
        return reject("fence");
      }
      String task = order.path("task").asText();
      long run = order.path("run").asLong();
      Run present = running.get(task);
      if (present != null && present.run() == run) {
        return Reply.of(200, clockBody());
      }
      extend(order);
      if (run <= highest.getOrDefault(task, 0L) || present != null) {
        return reject("old");
      }
      if (order.path("deadlineMs").asLong() <= clock()) {
        return reject("late");
      }
      long need = number(CPU, order.path("spec").asText(), 100);
      if (running.values().stream().mapToLong(Run::cpu).sum() + need > cpu) {
        return reject("room");
      }
      running.put(task, new Run(task, run, need, clock() + number(MS, order.path("spec").asText(), 200)));
      STARTS.merge(task, 1, Integer::sum);
      return Reply.of(200, clockBody());
    }

    private synchronized Reply stop(JsonNode order) {
      if (stale(order)) {
        return reject("fence");
      }
      String task = order.path("task").asText();
      highest.merge(task, order.path("run").asLong(), Math::max);
      Run present = running.get(task);
      if (present != null && present.run() <= order.path("run").asLong()) {
        finish(present, "stopped");
      }
      return Reply.of(200, clockBody());
    }

    private synchronized Reply hold(JsonNode order) throws InterruptedException {
      if (stale(order)) {
        return reject("fence");
      }
      extend(order);
      long cursor = order.path("ackCursor").asLong(0);
      ends.removeIf(e -> e.number() <= cursor);
      long until = clock() + Math.min(2_000, order.path("waitMs").asLong(0));
      while (ends.isEmpty() && clock() < until && !gone) {
        wait(Math.max(1, until - clock()));
      }
      ObjectNode answer = clockBody();
      ArrayNode runs = answer.putArray("running");
      running.values().forEach(r -> runs.addArray().add(r.task()).add(r.run()).add("").add(100).add(0));
      ArrayNode finished = answer.putArray("finished");
      ends.stream().limit(500).forEach(e -> finished.addArray().add(e.number()).add(e.task()).add(e.run()).add(e.how()).add(""));
      return Reply.of(200, answer);
    }
  }

  /** One entry process, started with the command of the deploy file. */
  static final class Entry {
    final String name;
    final int clientPort;
    final int readinessPort;
    private final ProcessBuilder builder;
    Process process;

    Entry(String name, Platform platform, Path folder, Path root) throws IOException {
      this.name = name;
      int port = freePorts(4);
      clientPort = port;
      readinessPort = port + 1;
      ObjectNode settings = (ObjectNode) JSON.readTree(SETTINGS);
      settings.put("nodeName", name).put("role", "entry").put("ip", "127.0.0.1").put("zone", "zone-a");
      settings.putObject("listen").put("frontend", "127.0.0.1:" + port).put("readiness", "127.0.0.1:" + readinessPort);
      settings.putArray("internalPorts").add(port + 2).add(port + 3);
      ((ObjectNode) settings.get("platform")).put("address", platform.address());
      ((ObjectNode) settings.get("cloudApi")).put("address", platform.address());
      Path file = folder.resolve(name + ".json");
      Files.writeString(file, settings.toPrettyString());
      String run =
          Files.readAllLines(root.resolve("deploy/system.toml")).stream()
              .filter(line -> line.startsWith("run = "))
              .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
              .findFirst()
              .orElseThrow();
      builder = new ProcessBuilder(run.split(" ")).directory(root.toFile());
      builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
      builder.environment().put("TOUCANSTALL_SETTINGS", file.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
    }

    void start() throws IOException {
      process = builder.start();
      Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    void kill() throws InterruptedException {
      process.destroyForcibly().waitFor();
    }
  }

  private static final String SETTINGS =
      """
      {"machineClass":"frontend","serves":["frontend"],"region":"region-a",
       "zones":{"zone-a":"region-a"},"seeds":[],"bootstrap":true,"countsAsLoss":false,
       "limits":{"cpuShare":0.75,"cores":1,"memoryMb":430,"maxFds":4100,"linkMbps":1000.0,"diskMb":0},
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

  /** Returns a manifest with a queue for each service, named like its service. */
  static ObjectNode manifest(int version, String... services) {
    ObjectNode root = JSON.createObjectNode().put("version", version);
    ArrayNode routes = root.putArray("routes");
    ArrayNode upstreams = root.putArray("upstreams");
    for (String service : services) {
      routes.addObject().put("name", service).put("host", "queue.example").put("pathPrefix", "/" + service + "/")
          .put("upstream", service).put("priority", 0).put("attempts", 3).put("slackFactor", 1.6).put("targetCompletionMs", 600);
      upstreams.addObject().put("name", service).put("admissionCheck", true);
    }
    ObjectNode tenant = root.putArray("tenants").addObject().put("name", "tenant-one").put("weight", 100);
    tenant.putArray("apiKeys").add(KEY);
    tenant.putObject("maximum").put("cpu", 0).put("memMb", 0).put("gpu", 0);
    return root;
  }

  /** Client that retries at other entry instances within its time budget of 3 s. */
  static final class Client {
    private static final Duration TIMEOUT = Duration.ofMillis(3_000);
    private final HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofSeconds(1)).build();
    private final List<Entry> entries;
    private final Record record;
    private int next;

    Client(List<Entry> entries, Record record) {
      this.entries = entries;
      this.record = record;
    }

    record Answer(int status, String body) {}

    Answer call(String method, String path, String body) throws InterruptedException {
      Answer answer = new Answer(0, "");
      long until = System.nanoTime() + TIMEOUT.toNanos();
      for (int tries = 0; tries < 5 && System.nanoTime() < until; tries++) {
        Entry entry;
        synchronized (this) {
          entry = entries.get(next++ % entries.size());
        }
        long leftMs = Math.max(50, (until - System.nanoTime()) / 1_000_000);
        HttpRequest request =
            HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + entry.clientPort + path))
                .timeout(Duration.ofMillis(leftMs)).header("Host", "queue.example").header("Key", KEY)
                .header("Deadline-Ms", Long.toString(leftMs)).header("Content-Type", "application/json")
                .method(method, body.isEmpty() ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofString(body))
                .build();
        try {
          HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
          answer = new Answer(response.statusCode(), response.body());
        } catch (IOException e) {
          answer = new Answer(0, e.toString());
        }
        record.add("client: %s %s at %s: %d %s", method, path, entry.name, answer.status(), answer.body());
        boolean retry = answer.status() == 0 || answer.status() == 429 || answer.status() >= 500;
        if (!retry) {
          return answer;
        }
        Thread.sleep(300);
      }
      return answer;
    }
  }

  static boolean awaitReady(List<Entry> entries, Duration limit) throws InterruptedException {
    HttpClient http = HttpClient.newHttpClient();
    long until = System.nanoTime() + limit.toNanos();
    while (System.nanoTime() < until) {
      boolean all = true;
      for (Entry entry : entries) {
        try {
          all &= http.send(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + entry.readinessPort + "/-/ready")).timeout(Duration.ofSeconds(1)).build(), HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
        } catch (IOException e) {
          all = false;
        }
      }
      if (all) {
        return true;
      }
      Thread.sleep(100);
    }
    return false;
  }
}
