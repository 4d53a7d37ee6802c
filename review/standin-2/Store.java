import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in for the platform's store: logs, keyed topics and groups, all in memory. */
final class Store extends HttpStandIn {

  /** Time that one append takes, as the settings say under {@code appendMs}. */
  private static final long APPEND_MS = 3;

  private static final int PAGE_ITEMS = 500;
  private static final int REMEMBERED_APPENDS = 5;

  private record Done(long sequence, long offset, long end) {}

  private static final class Producer {
    long epoch = -1;
    long lastSequence = -1;
    final Deque<Done> done = new ArrayDeque<>();
  }

  private static final class Partition {
    final List<byte[]> records = new ArrayList<>();
    final Map<String, Producer> producers = new HashMap<>();
    final TreeMap<String, Integer> newest = new TreeMap<>();
  }

  private static final class Group {
    long generation;
    final Map<String, Long> members = new LinkedHashMap<>();
    final Map<String, Long> ttlMs = new HashMap<>();
    String owner = "";
  }

  private final Map<String, Partition> partitions = new HashMap<>();
  private final Map<String, Group> groups = new HashMap<>();

  Store(Rig rig) throws IOException {
    super(rig);
  }

  private Partition partition(String topic, String part) {
    return partitions.computeIfAbsent(topic + "/" + part, k -> new Partition());
  }

  /** Writes a record of a keyed topic as the operator or a worker does; empty removes the key. */
  synchronized void put(String topic, String key, byte[] value) {
    add(topic, partition(topic, "0"), keyed(key, value));
    notifyAll();
  }

  private static byte[] keyed(String key, byte[] value) {
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    ByteBuffer out = ByteBuffer.allocate(1 + name.length + value.length);
    out.put((byte) name.length).put(name).put(value);
    return out.array();
  }

  private void add(String topic, Partition p, byte[] record) {
    if (topic.startsWith("keyed.")) {
      int length = Byte.toUnsignedInt(record[0]);
      String key = new String(record, 1, length, StandardCharsets.UTF_8);
      if (record.length == 1 + length) {
        p.newest.remove(key);
      } else {
        p.newest.put(key, p.records.size());
      }
    }
    p.records.add(record);
  }

  @Override
  Reply answer(Call call) throws InterruptedException {
    return switch (call.path()) {
      case "/-/log-append" -> append(call);
      case "/-/log-read" -> read(call);
      case "/-/log-newest" -> newest(call);
      case "/-/log-join" -> join(rig.parse(call.body()));
      case "/-/log-leave" -> leave(rig.parse(call.body()));
      default -> new Reply(404, "{}");
    };
  }

  private Reply append(Call call) throws InterruptedException {
    Thread.sleep(APPEND_MS);
    synchronized (this) {
      String topic = call.query("topic", "");
      Partition p = partition(topic, call.query("part", "0"));
      List<byte[]> records = new ArrayList<>();
      ByteBuffer in = ByteBuffer.wrap(call.body());
      while (in.remaining() >= 4) {
        byte[] record = new byte[in.getInt()];
        in.get(record);
        records.add(record);
      }
      Producer producer = null;
      long sequence = Long.parseLong(call.query("sequence", "-1"));
      if (!call.query("producer", "").isEmpty()) {
        producer = p.producers.computeIfAbsent(call.query("producer", ""), k -> new Producer());
        long epoch = Long.parseLong(call.query("epoch", "0"));
        if (epoch < producer.epoch) {
          return new Reply(409, "{\"reason\":\"fenced\"}");
        }
        if (epoch > producer.epoch) {
          producer.epoch = epoch;
          producer.lastSequence = -1;
          producer.done.clear();
        }
        if (records.isEmpty()) {
          return stored(p.records.size(), p.records.size());
        }
        for (Done done : producer.done) {
          if (done.sequence() == sequence) {
            return stored(done.offset(), done.end());
          }
        }
        if (producer.lastSequence >= 0 && sequence != producer.lastSequence + 1) {
          return new Reply(
              409, "{\"reason\":\"seq\",\"expected\":" + (producer.lastSequence + 1) + "}");
        }
      }
      long at = Long.parseLong(call.query("at", "-1"));
      if (at >= 0 && at != p.records.size()) {
        return new Reply(412, "{\"end\":" + p.records.size() + "}");
      }
      long offset = p.records.size();
      records.forEach(record -> add(topic, p, record));
      if (producer != null) {
        producer.lastSequence = sequence;
        producer.done.addLast(new Done(sequence, offset, p.records.size()));
        if (producer.done.size() > REMEMBERED_APPENDS) {
          producer.done.removeFirst();
        }
      }
      notifyAll();
      return stored(offset, p.records.size());
    }
  }

  private static Reply stored(long offset, long end) {
    return new Reply(200, "{\"offset\":" + offset + ",\"end\":" + end + "}");
  }

  private synchronized Reply read(Call call) throws InterruptedException {
    Partition p = partition(call.query("topic", ""), call.query("part", "0"));
    int from = Integer.parseInt(call.query("from", "0"));
    long untilMs = rig.nowMs() + Long.parseLong(call.query("waitMs", "0"));
    while (p.records.size() <= from && rig.nowMs() < untilMs) {
      wait(Math.max(1, untilMs - rig.nowMs()));
    }
    int maxBytes = 1024 * Integer.parseInt(call.query("maxKb", "1024"));
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.writeBytes(ByteBuffer.allocate(16).putLong(p.records.size()).putLong(0).array());
    for (int i = from; i < p.records.size() && out.size() < maxBytes; i++) {
      byte[] record = p.records.get(i);
      out.writeBytes(ByteBuffer.allocate(4).putInt(record.length).array());
      out.writeBytes(record);
    }
    return new Reply(200, out.toByteArray());
  }

  private synchronized Reply newest(Call call) {
    Partition p = partition(call.query("topic", ""), call.query("part", "0"));
    ObjectNode answer = rig.object();
    ArrayNode items = answer.putArray("items");
    boolean more = false;
    int bytes = 0;
    for (Map.Entry<String, Integer> e :
        p.newest.tailMap(call.query("dependsOn", ""), false).entrySet()) {
      if (items.size() >= PAGE_ITEMS || bytes > 1_000_000) {
        more = true;
        break;
      }
      byte[] record = p.records.get(e.getValue());
      byte[] value =
          Arrays.copyOfRange(record, 1 + Byte.toUnsignedInt(record[0]), record.length);
      bytes += value.length;
      items.addObject().put("key", e.getKey()).put("value", value).put("offset", e.getValue());
    }
    answer.put("hasMore", more).put("end", p.records.size());
    return new Reply(200, answer.toString());
  }

  private synchronized Reply join(JsonNode body) {
    Group g = groups.computeIfAbsent(body.path("group").asText(), k -> new Group());
    String member = body.path("member").asText();
    expire(g);
    if (!g.members.containsKey(member)) {
      g.generation++;
    }
    g.members.put(member, rig.nowMs());
    g.ttlMs.put(member, body.path("ttlMs").asLong(1_000));
    assign(g);
    ObjectNode answer = rig.object().put("generation", g.generation);
    ArrayNode parts = answer.putArray("parts");
    for (JsonNode topic : body.path("topics")) {
      if (member.equals(g.owner)) {
        parts.addArray().add(topic.asText()).add(0).add(0);
      }
    }
    return new Reply(200, answer.toString());
  }

  private synchronized Reply leave(JsonNode body) {
    Group g = groups.computeIfAbsent(body.path("group").asText(), k -> new Group());
    if (g.members.remove(body.path("member").asText()) != null) {
      g.generation++;
    }
    assign(g);
    return new Reply(200, "{}");
  }

  private void expire(Group g) {
    if (g.members.entrySet().removeIf(e -> rig.nowMs() - e.getValue() > g.ttlMs.get(e.getKey()))) {
      g.generation++;
    }
  }

  private static void assign(Group g) {
    if (!g.members.containsKey(g.owner)) {
      g.owner = g.members.isEmpty() ? "" : g.members.keySet().iterator().next();
    }
  }
}
