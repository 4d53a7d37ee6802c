package dev.toucanstall.testbed.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.toucanstall.testbed.soak.SoakEffect.Reply;
import dev.toucanstall.testbed.soak.SoakEvent.StoreCall;
import dev.toucanstall.testbed.soak.SoakState.Producer;
import dev.toucanstall.testbed.soak.SoakState.ServerState;
import dev.toucanstall.testbed.soak.SoakState.StoreState;
import dev.toucanstall.testbed.soak.SoakState.Topic;
import dev.toucanstall.testbed.soak.SoakState.WaitingRead;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * The platform's store and list of machines: what calls do and how they are answered. Machines stay
 * in their pools.
 */
final class StoreRules {

  static final ObjectMapper JSON = new ObjectMapper();
  private static final int OK = 200;
  private static final int FORBIDDEN = 403;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int CONDITION_FAILED = 412;
  private static final int TOO_LARGE = 413;
  private static final int BAD_REQUEST = 400;
  private static final int TOO_MANY = 429;
  private static final int UNAVAILABLE = 503;
  private static final int MAX_RECORD_BYTES = 262_144;
  private static final int MAX_CALL_BYTES = 2_097_152;
  private static final int MAX_READ_BYTES = 1 << 20;
  private static final int MAX_ITEMS = 500;
  private static final int RETAINED_REPLIES = 5;
  private static final Set<String> OPERATOR_TOPICS = Set.of("keyed.op", "keyed.servers");

  private StoreRules() {}

  static void call(SoakState state, StoreCall call, List<SoakEffect> effects) {
    StoreState store = state.store;
    if (call.at() < store.refusedUntil[call.entry()]) {
      int status =
          switch (store.refusals[call.entry()]) {
            case UNAVAILABLE -> UNAVAILABLE;
            case TOO_MANY -> TOO_MANY;
            case BREAK_CONNECTION -> 0;
          };
      effects.add(reply(call.handle(), status, JSON.createObjectNode()));
      return;
    }
    switch (call.path()) {
      case "/-/log-append" -> append(state, call, effects);
      case "/-/log-read" -> read(store, call, effects);
      case "/-/log-newest" -> newest(store, call, effects);
      case "/-/log-join" -> join(state, call, effects);
      case "/-/log-leave" -> leave(state, call, effects);
      case "/-/machines" -> machines(state, call, effects);
      case "/-/machine-move", "/-/machine-upkeep" ->
          effects.add(reply(call.handle(), BAD_REQUEST, JSON.createObjectNode()));
      default -> effects.add(reply(call.handle(), NOT_FOUND, JSON.createObjectNode()));
    }
  }

  static Reply reply(long handle, int status, JsonNode body) {
    return new Reply(handle, status, body.toString().getBytes(StandardCharsets.UTF_8));
  }

  /** Appends a record with a key; an empty value deletes the key. */
  static void put(
      SoakState state, String topic, String key, byte[] value, List<SoakEffect> effects) {
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    ByteBuffer content = ByteBuffer.allocate(1 + name.length + value.length);
    content.put((byte) name.length).put(name).put(value);
    store(state.store.topic(topic), topic, content.array());
    answerReads(state.store, effects);
  }

  private static void store(Topic topic, String name, byte[] content) {
    topic.records.add(content);
    if (name.startsWith("keyed.")) {
      int length = Byte.toUnsignedInt(content[0]);
      String key = new String(content, 1, length, StandardCharsets.UTF_8);
      if (content.length > 1 + length) {
        topic.newest.put(key, topic.records.size() - 1);
      } else {
        topic.newest.remove(key);
      }
    }
  }

  private static void append(SoakState state, StoreCall call, List<SoakEffect> effects) {
    String name = call.query().getOrDefault("topic", "");
    ObjectNode answer = JSON.createObjectNode();
    List<byte[]> records = records(call.body());
    if (OPERATOR_TOPICS.contains(name)) {
      effects.add(reply(call.handle(), FORBIDDEN, answer));
      return;
    }
    if (records.stream().anyMatch(content -> content.length > MAX_RECORD_BYTES)
        || records.stream().mapToLong(content -> content.length).sum() > MAX_CALL_BYTES) {
      effects.add(reply(call.handle(), TOO_LARGE, answer));
      return;
    }
    Topic topic = state.store.topic(name);
    int end = topic.records.size();
    String producerName = call.query().get("producer");
    Producer producer =
        producerName == null
            ? new Producer()
            : topic.producers.computeIfAbsent(producerName, key -> new Producer());
    long epoch = number(call, "epoch");
    long sequence = number(call, "sequence");
    if (epoch < producer.epoch) {
      effects.add(reply(call.handle(), CONFLICT, answer.put("reason", "fenced")));
      return;
    }
    if (!records.isEmpty() && epoch == producer.epoch && producer.sequence >= 0) {
      byte[] repeated = producer.lastReplies.get(sequence);
      if (repeated != null) {
        effects.add(new Reply(call.handle(), OK, repeated));
        return;
      }
      if (sequence != producer.sequence + 1) {
        answer.put("reason", "seq").put("expected", producer.sequence + 1);
        effects.add(reply(call.handle(), CONFLICT, answer));
        return;
      }
    }
    if (call.query().containsKey("at") && number(call, "at") != end) {
      effects.add(reply(call.handle(), CONDITION_FAILED, answer.put("end", end)));
      return;
    }
    records.forEach(content -> store(topic, name, content));
    Reply done =
        reply(call.handle(), OK, answer.put("offset", end).put("end", topic.records.size()));
    remember(producer, epoch, sequence, records.isEmpty() ? null : done);
    effects.add(done);
    answerReads(state.store, effects);
  }

  /** Notes an epoch and, if records were appended, their sequence number and reply. */
  private static void remember(Producer producer, long epoch, long sequence, @Nullable Reply done) {
    if (epoch > producer.epoch) {
      producer.epoch = epoch;
      producer.sequence = -1;
      producer.lastReplies.clear();
    }
    if (done != null) {
      producer.sequence = sequence;
      producer.lastReplies.put(sequence, done.body());
      if (producer.lastReplies.size() > RETAINED_REPLIES) {
        producer.lastReplies.pollFirstEntry();
      }
    }
  }

  private static List<byte[]> records(byte[] body) {
    List<byte[]> records = new ArrayList<>();
    ByteBuffer in = ByteBuffer.wrap(body);
    while (in.hasRemaining()) {
      byte[] content = new byte[in.getInt()];
      in.get(content);
      records.add(content);
    }
    return records;
  }

  private static long number(StoreCall call, String name) {
    return Long.parseLong(call.query().getOrDefault(name, "0"));
  }

  private static void read(StoreState store, StoreCall call, List<SoakEffect> effects) {
    WaitingRead read =
        new WaitingRead(
            call.handle(),
            call.query().getOrDefault("topic", ""),
            (int) number(call, "from"),
            call.at() + number(call, "waitMs"));
    if (store.topic(read.topic()).records.size() > read.from() || read.until() <= call.at()) {
      effects.add(answer(store, read));
    } else {
      store.reads.add(read);
    }
  }

  private static void answerReads(StoreState store, List<SoakEffect> effects) {
    store.reads.removeIf(
        read -> {
          boolean ready = store.topic(read.topic()).records.size() > read.from();
          if (ready) {
            effects.add(answer(store, read));
          }
          return ready;
        });
  }

  private static Reply answer(StoreState store, WaitingRead read) {
    List<byte[]> all = store.topic(read.topic()).records;
    List<byte[]> found = new ArrayList<>();
    int bytes = 0;
    for (int i = read.from(); i < all.size() && bytes < MAX_READ_BYTES; i++) {
      found.add(all.get(i));
      bytes += Integer.BYTES + all.get(i).length;
    }
    ByteBuffer out = ByteBuffer.allocate(2 * Long.BYTES + bytes);
    out.putLong(all.size()).putLong(0);
    found.forEach(content -> out.putInt(content.length).put(content));
    return new Reply(read.handle(), OK, out.array());
  }

  private static void newest(StoreState store, StoreCall call, List<SoakEffect> effects) {
    Topic topic = store.topic(call.query().getOrDefault("topic", ""));
    String after = call.query().get("dependsOn");
    ObjectNode answer = JSON.createObjectNode();
    ArrayNode items = answer.putArray("items");
    boolean hasMore = false;
    int bytes = 0;
    for (Map.Entry<String, Integer> newest :
        (after == null ? topic.newest : topic.newest.tailMap(after, false)).entrySet()) {
      byte[] content = topic.records.get(newest.getValue());
      if (items.size() == MAX_ITEMS || (bytes > 0 && bytes + content.length > MAX_READ_BYTES)) {
        hasMore = true;
        break;
      }
      bytes += content.length;
      byte[] value =
          Arrays.copyOfRange(content, 1 + Byte.toUnsignedInt(content[0]), content.length);
      items
          .addObject()
          .put("key", newest.getKey())
          .put("value", Base64.getEncoder().encodeToString(value))
          .put("offset", newest.getValue());
    }
    answer.put("hasMore", hasMore).put("end", topic.records.size());
    effects.add(reply(call.handle(), OK, answer));
  }

  private static void join(SoakState state, StoreCall call, List<SoakEffect> effects) {
    JsonNode body;
    try {
      body = JSON.readTree(call.body());
    } catch (IOException e) {
      effects.add(reply(call.handle(), BAD_REQUEST, JSON.createObjectNode()));
      return;
    }
    StoreState store = state.store;
    String member = body.path("member").asText();
    boolean isNew = store.members.put(member, call.at() + body.path("ttlMs").asLong()) == null;
    if (isNew) {
      store.generation++;
    }
    expireMembers(state, call.at());
    ObjectNode answer = JSON.createObjectNode().put("generation", store.generation);
    ArrayNode parts = answer.putArray("parts");
    if (member.equals(store.holder)) {
      body.path("topics").forEach(topic -> parts.addArray().add(topic.asText()).add(0).add(0));
    }
    effects.add(reply(call.handle(), OK, answer));
  }

  private static void leave(SoakState state, StoreCall call, List<SoakEffect> effects) {
    try {
      if (state.store.members.remove(JSON.readTree(call.body()).path("member").asText()) != null) {
        state.store.generation++;
      }
      expireMembers(state, call.at());
      effects.add(reply(call.handle(), OK, JSON.createObjectNode()));
    } catch (IOException e) {
      effects.add(reply(call.handle(), BAD_REQUEST, JSON.createObjectNode()));
    }
  }

  private static void expireMembers(SoakState state, long at) {
    StoreState store = state.store;
    if (store.members.values().removeIf(until -> until < at)) {
      store.generation++;
    }
    if (!store.members.containsKey(store.holder)) {
      reassignGroup(state);
    }
  }

  /** Names another member, if there is one. */
  static void reassignGroup(SoakState state) {
    StoreState store = state.store;
    List<String> others =
        store.members.keySet().stream().filter(member -> !member.equals(store.holder)).toList();
    if (!others.isEmpty()) {
      store.holder = others.get(state.random.nextInt(others.size()));
      store.generation++;
    }
  }

  private static void machines(SoakState state, StoreCall call, List<SoakEffect> effects) {
    ObjectNode answer = JSON.createObjectNode().putNull("nextToken");
    ArrayNode rows = answer.putArray("machines");
    for (ServerState server : state.servers) {
      rows.addObject()
          .put("machine", "m-" + server.index)
          .put("pool", server.service)
          .put("state", server.up ? "up" : "down")
          .put("zone", "zone-a")
          .put("id", server.up ? server.id : "");
    }
    effects.add(reply(call.handle(), OK, answer));
  }

  static void tick(SoakState state, long at, List<SoakEffect> effects) {
    state.store.reads.removeIf(
        read -> {
          if (read.until() <= at) {
            effects.add(answer(state.store, read));
          }
          return read.until() <= at;
        });
  }
}
