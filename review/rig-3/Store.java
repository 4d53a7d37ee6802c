import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/**
 * Stand-in for the platform's store, as PROTOCOL.md describes it: logs with keyed topics, producers
 * with epochs, and groups. Each entry instance reaches it over a port of its own, so that a case
 * can disturb one instance alone. Nothing expires within the time of a case.
 */
final class Store implements AutoCloseable {

  static final ObjectMapper JSON = new ObjectMapper();

  /** Time of an append, in milliseconds. */
  private static final long APPEND_MS = 3;

  private static final int MAX_PAGE_ITEMS = 500;
  private static final int MAX_PAGE_BYTES = 1 << 20;
  private static final int REPEATS = 5;

  /** How the store treats the calls of an entry instance. */
  enum Mode {
    SERVING,
    /** Answers 503 and does nothing. */
    BUSY,
    /** Does nothing and never answers. */
    SILENT
  }

  private record Answer(int status, byte[] body) {}

  private record Repeat(long sequence, Answer answer) {}

  private static final class Producer {
    long epoch = -1;
    long sequence = -1;
    final List<Repeat> repeats = new ArrayList<>();
  }

  private static final class Log {
    final List<byte[]> records = new ArrayList<>();
    final Map<String, Producer> producers = new HashMap<>();
    final TreeMap<String, Integer> newest = new TreeMap<>();
  }

  private static final class Group {
    long generation;
    String holder = "";
    final Map<String, Long> deadlines = new LinkedHashMap<>();
  }

  private final Map<String, Log> logs = new HashMap<>();
  private final Map<String, Group> groups = new HashMap<>();
  private final Map<String, Mode> modes = new HashMap<>();
  private final List<HttpServer> servers = new ArrayList<>();

  /** Opens a port for an entry instance and returns it. */
  int open(String caller) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext("/", exchange -> handle(caller, exchange));
    server.start();
    servers.add(server);
    return server.getAddress().getPort();
  }

  synchronized void setMode(String caller, Mode mode) {
    modes.put(caller, mode);
  }

  private synchronized Mode mode(String caller) {
    return modes.getOrDefault(caller, Mode.SERVING);
  }

  private void handle(String caller, HttpExchange exchange) throws IOException {
    try (exchange) {
      byte[] body = exchange.getRequestBody().readAllBytes();
      Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
      Answer answer = answer(caller, exchange.getRequestURI().getPath(), query, body);
      if (answer == null) {
        return;
      }
      exchange.sendResponseHeaders(answer.status, answer.body.length == 0 ? -1 : answer.body.length);
      exchange.getResponseBody().write(answer.body);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private Answer answer(String caller, String path, Map<String, String> query, byte[] body)
      throws InterruptedException, IOException {
    switch (mode(caller)) {
      case BUSY -> {
        Thread.sleep(1);
        return json(503, JSON.createObjectNode());
      }
      case SILENT -> {
        while (mode(caller) == Mode.SILENT) {
          Thread.sleep(50);
        }
        return null;
      }
      default -> {}
    }
    return switch (path) {
      case "/-/log-append" -> {
        Thread.sleep(APPEND_MS);
        yield append(query, body);
      }
      case "/-/log-read" -> read(query);
      case "/-/log-newest" -> newest(query);
      case "/-/log-join" -> join(JSON.readTree(body));
      case "/-/log-leave" -> leave(JSON.readTree(body));
      default -> json(404, JSON.createObjectNode());
    };
  }

  private static Map<String, String> query(String raw) {
    Map<String, String> result = new HashMap<>();
    for (String part : raw == null ? new String[0] : raw.split("&")) {
      int at = part.indexOf('=');
      result.put(
          part.substring(0, at), URLDecoder.decode(part.substring(at + 1), StandardCharsets.UTF_8));
    }
    return result;
  }

  private static Answer json(int status, JsonNode body) {
    return new Answer(status, body.toString().getBytes(StandardCharsets.UTF_8));
  }

  private Log log(String topic) {
    return logs.computeIfAbsent(topic, t -> new Log());
  }

  private synchronized Answer append(Map<String, String> query, byte[] body) {
    String topic = query.get("topic");
    if (topic.equals("keyed.op") || topic.equals("keyed.servers")) {
      return json(403, JSON.createObjectNode());
    }
    List<byte[]> records = new ArrayList<>();
    ByteBuffer in = ByteBuffer.wrap(body);
    while (in.hasRemaining()) {
      byte[] record = new byte[in.getInt()];
      in.get(record);
      records.add(record);
    }
    Log log = log(topic);
    String at = query.get("at");
    String name = query.get("producer");
    if (name == null) {
      return at != null && Long.parseLong(at) != log.records.size()
          ? json(412, end(log))
          : store(log, records);
    }
    Producer producer = log.producers.computeIfAbsent(name, n -> new Producer());
    long epoch = Long.parseLong(query.getOrDefault("epoch", "0"));
    if (epoch < producer.epoch) {
      return json(409, JSON.createObjectNode().put("reason", "fenced"));
    }
    if (epoch > producer.epoch) {
      producer.epoch = epoch;
      producer.sequence = -1;
      producer.repeats.clear();
    }
    if (records.isEmpty()) {
      return json(200, end(log).put("offset", log.records.size()));
    }
    long sequence = Long.parseLong(query.getOrDefault("sequence", "0"));
    for (Repeat repeat : producer.repeats) {
      if (repeat.sequence == sequence) {
        return repeat.answer;
      }
    }
    if (producer.sequence >= 0 && sequence != producer.sequence + 1) {
      return json(
          409, JSON.createObjectNode().put("reason", "seq").put("expected", producer.sequence + 1));
    }
    if (at != null && Long.parseLong(at) != log.records.size()) {
      return json(412, end(log));
    }
    Answer answer = store(log, records);
    producer.sequence = sequence;
    producer.repeats.add(new Repeat(sequence, answer));
    if (producer.repeats.size() > REPEATS) {
      producer.repeats.removeFirst();
    }
    return answer;
  }

  private Answer store(Log log, List<byte[]> records) {
    long offset = log.records.size();
    for (byte[] record : records) {
      String key = new String(record, 1, record[0] & 0xff, StandardCharsets.UTF_8);
      boolean empty = record.length == 1 + (record[0] & 0xff);
      if (empty) {
        log.newest.remove(key);
      } else {
        log.newest.put(key, log.records.size());
      }
      log.records.add(record);
    }
    notifyAll();
    return json(200, end(log).put("offset", offset));
  }

  private static ObjectNode end(Log log) {
    return JSON.createObjectNode().put("end", log.records.size());
  }

  /** Writes a record as the operator or a worker does. */
  synchronized void write(String topic, String key, JsonNode value) {
    writeBytes(topic, key, value.toString().getBytes(StandardCharsets.UTF_8));
  }

  synchronized void remove(String topic, String key) {
    writeBytes(topic, key, new byte[0]);
  }

  private void writeBytes(String topic, String key, byte[] value) {
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    ByteBuffer record = ByteBuffer.allocate(1 + name.length + value.length);
    record.put((byte) name.length).put(name).put(value);
    store(log(topic), List.of(record.array()));
  }

  private synchronized Answer read(Map<String, String> query) throws InterruptedException {
    Log log = log(query.get("topic"));
    int from = Integer.parseInt(query.get("from"));
    long untilMs = System.nanoTime() / 1_000_000 + Long.parseLong(query.getOrDefault("waitMs", "0"));
    while (log.records.size() <= from) {
      long leftMs = untilMs - System.nanoTime() / 1_000_000;
      if (leftMs <= 0) {
        break;
      }
      wait(leftMs);
    }
    int maxBytes = 1024 * Integer.parseInt(query.getOrDefault("maxKb", "1024"));
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.writeBytes(ByteBuffer.allocate(16).putLong(log.records.size()).putLong(0).array());
    for (int i = from; i < log.records.size() && out.size() < maxBytes; i++) {
      byte[] record = log.records.get(i);
      out.writeBytes(ByteBuffer.allocate(4).putInt(record.length).array());
      out.writeBytes(record);
    }
    return new Answer(200, out.toByteArray());
  }

  private synchronized Answer newest(Map<String, String> query) {
    Log log = log(query.get("topic"));
    String after = query.getOrDefault("dependsOn", "");
    ObjectNode answer = end(log);
    ArrayNode items = answer.putArray("items");
    int bytes = 0;
    boolean more = false;
    for (Map.Entry<String, Integer> entry : log.newest.tailMap(after, after.isEmpty()).entrySet()) {
      byte[] record = log.records.get(entry.getValue());
      if (items.size() >= MAX_PAGE_ITEMS || bytes + record.length > MAX_PAGE_BYTES) {
        more = true;
        break;
      }
      bytes += record.length;
      byte[] value = Arrays.copyOfRange(record, 1 + (record[0] & 0xff), record.length);
      items.addObject().put("key", entry.getKey()).put("value", value).put("offset", entry.getValue());
    }
    return json(200, answer.put("hasMore", more));
  }

  private synchronized Answer join(JsonNode body) {
    Group group = groups.computeIfAbsent(body.path("group").asText(), g -> new Group());
    long nowMs = System.nanoTime() / 1_000_000;
    String member = body.path("member").asText();
    int before = group.deadlines.size();
    group.deadlines.entrySet().removeIf(e -> e.getValue() < nowMs);
    boolean added = group.deadlines.put(member, nowMs + body.path("ttlMs").asLong()) == null;
    if (added || group.deadlines.size() != before) {
      group.generation++;
    }
    if (!group.deadlines.containsKey(group.holder)) {
      group.holder = group.deadlines.keySet().iterator().next();
    }
    ObjectNode answer = JSON.createObjectNode().put("generation", group.generation);
    ArrayNode parts = answer.putArray("parts");
    if (group.holder.equals(member)) {
      body.path("topics").forEach(t -> parts.addArray().add(t.asText()).add(0).add(0));
    }
    return json(200, answer);
  }

  private synchronized Answer leave(JsonNode body) {
    Group group = groups.get(body.path("group").asText());
    if (group != null && group.deadlines.remove(body.path("member").asText()) != null) {
      group.generation++;
      if (group.holder.equals(body.path("member").asText())) {
        group.holder = group.deadlines.isEmpty() ? "" : group.deadlines.keySet().iterator().next();
      }
    }
    return json(200, JSON.createObjectNode());
  }

  /** Returns the newest value of a key as text, byte by byte; empty if there is none. */
  synchronized String value(String topic, String key) {
    Log log = log(topic);
    Integer offset = log.newest.get(key);
    if (offset == null) {
      return "";
    }
    byte[] record = log.records.get(offset);
    int from = 1 + (record[0] & 0xff);
    return new String(record, from, record.length - from, StandardCharsets.ISO_8859_1);
  }

  @Override
  public void close() {
    servers.forEach(s -> s.stop(0));
  }
}
