import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Stand-in for a worker. All state is guarded by the rig's lock. */
final class Worker extends HttpStandIn {

  static final long HOLD_MAX_MS = 10_000;
  static final long GANG_TIMEOUT_MS = 3_000;
  private static final long STOP_MS = 50;
  private static final int MAX_LISTED_ENDS = 500;

  /** A run that is present. */
  static final class Run {
    String task;
    long run;
    Rig.Item item;
    long startedMs;

    /** Time at which work began; 0 while a gang is not complete. */
    long workSinceMs;

    /** Time at which a stop takes effect, 0 if there is none. */
    long stopAtMs;

    /** Time of the end by its own work or fault; the maximum for one that lasts. */
    long endAtMs;

    String how = "done";
    String saved = "";
  }

  private record End(long number, String task, long run, String how, String saved) {}

  String id;
  final String service;
  final String machine;
  final String rack;
  final long cpu;
  final long memMb = 131_072;
  long bornMs;
  private long lifeStartMs;
  private long fence;
  private long leaseMs;
  private long lastEnd;
  private long beats;
  boolean draining;

  /** Whether the process is down; calls are not read either while it is. */
  private boolean down;

  final Map<String, Run> runs = new LinkedHashMap<>();
  private final List<End> ends = new ArrayList<>();
  private final Map<String, Long> highestEnded = new HashMap<>();

  Worker(Rig rig, String id, String service, String machine, String rack, long cpu)
      throws IOException {
    super(rig);
    this.id = id;
    this.service = service;
    this.machine = machine;
    this.rack = rack;
    this.cpu = cpu;
    begin();
  }

  private void begin() {
    bornMs = System.currentTimeMillis();
    lifeStartMs = rig.nowMs() - 1;
    fence = 0;
    leaseMs = 0;
    lastEnd = 0;
    runs.clear();
    ends.clear();
    highestEnded.clear();
  }

  /** Ends this lifetime without a word; the machine is silent. */
  void crash() {
    synchronized (rig.lock) {
      dark = true;
      down = true;
      runs.values().forEach(r -> rig.ended(this, r, "crashed"));
      runs.clear();
      rig.log("worker " + id + " crashed");
    }
  }

  /** Cuts the worker off from all others, or joins it to them again; it runs on meanwhile. */
  void setCut(boolean cut) {
    dark = cut;
    rig.log("worker " + id + (cut ? " is cut off" : " is reached again"));
    beat();
  }

  /** Begins another lifetime under the same id behind a cut. */
  void restartBehindCut() {
    synchronized (rig.lock) {
      begin();
      down = false;
      rig.log("worker " + id + " started again behind the cut, born " + bornMs);
    }
  }

  /** Carries out an order to start late. */
  void startLate(JsonNode order) {
    synchronized (rig.lock) {
      Reply reply = order.path("fencingToken").asLong(0) < fence ? refused("fence") : start(order);
      rig.log("late start on " + id + " -> " + reply.status());
    }
  }

  boolean isUp() {
    return !down;
  }

  /** Begins another lifetime under the same id. */
  void restart() {
    synchronized (rig.lock) {
      begin();
      down = false;
      dark = false;
      rig.log("worker " + id + " started again, born " + bornMs);
    }
    beat();
  }

  /** Writes the status report. */
  void beat() {
    synchronized (rig.lock) {
      if (dark) {
        return;
      }
      ObjectNode entry = rig.object();
      entry.put("upstream", service).put("address", address()).put("zone", "zone-a");
      entry.put("version", "v1").put("slots", 8).put("state", draining ? "draining" : "ready");
      entry.put("coldRemainingMs", 0).put("sequence", ++beats).put("born", bornMs);
      entry.putObject("capacity").put("cpu", cpu).put("memMb", memMb).put("gpu", 0);
      entry.putArray("labels").add("a").add(rack);
      entry.put("clockMs", clockMs());
      rig.store.put("keyed.servers", id, rig.bytes(entry));
    }
  }

  long clockMs() {
    return rig.nowMs() - lifeStartMs;
  }

  private long usedCpu() {
    return runs.values().stream().mapToLong(r -> r.item.cpu()).sum();
  }

  @Override
  Reply answer(Call call) throws InterruptedException {
    JsonNode body = rig.parse(call.body());
    synchronized (rig.lock) {
      String expected = call.header("Expect-Instance");
      if (!expected.isEmpty() && !expected.equals(id)) {
        return new Reply(421, "{}");
      }
      if (call.path().equals("/health")) {
        return new Reply(200, "{}");
      }
      long token = body.path("fencingToken").asLong(0);
      if (token < fence) {
        return refused("fence");
      }
      fence = token;
      if (call.path().equals("/-/run-start") && rig.holdsBack(this, body)) {
        return null;
      }
      return switch (call.path()) {
        case "/-/run-start" -> start(body);
        case "/-/run-stop" -> stop(body);
        case "/-/hold" -> hold(body);
        case "/-/pace" -> new Reply(200, clock().toString());
        default -> new Reply(404, "{}");
      };
    }
  }

  private ObjectNode clock() {
    return rig.object().put("clockMs", clockMs());
  }

  private Reply refused(String reason) {
    return new Reply(409, clock().put("reason", reason).toString());
  }

  private void extendLease(JsonNode body) {
    if (body.has("deadlineMs")) {
      long wanted = Math.min(body.path("deadlineMs").asLong(), clockMs() + HOLD_MAX_MS);
      leaseMs = Math.max(leaseMs, wanted);
    }
  }

  private Reply start(JsonNode body) {
    String task = body.path("task").asText();
    long run = body.path("run").asLong();
    Run present = runs.get(task);
    if (present != null && present.run == run) {
      extendLease(body);
      return new Reply(200, clock().toString());
    }
    if (run <= highestEnded.getOrDefault(task, 0L) || present != null) {
      extendLease(body);
      return refused("old");
    }
    if (body.path("deadlineMs").asLong() <= clockMs()) {
      return refused("late");
    }
    Rig.Item item = rig.item(task);
    if (item == null) {
      rig.broken("UNASKED: " + task + " was started and no client sent it");
      return new Reply(400, clock().toString());
    }
    extendLease(body);
    if (usedCpu() + item.cpu() > cpu) {
      return refused("room");
    }
    Run r = new Run();
    r.task = task;
    r.run = run;
    r.item = item;
    r.startedMs = rig.nowMs();
    r.workSinceMs = item.gang() ? 0 : r.startedMs;
    r.endAtMs = Long.MAX_VALUE;
    runs.put(task, r);
    rig.started(this, r, body);
    if (!item.gang()) {
      rig.plan(this, r);
    }
    return new Reply(200, clock().toString());
  }

  private Reply stop(JsonNode body) {
    String task = body.path("task").asText();
    long run = body.path("run").asLong();
    highestEnded.merge(task, run, Math::max);
    Run present = runs.get(task);
    if (present != null && present.run <= run && present.stopAtMs == 0) {
      present.stopAtMs = rig.nowMs() + STOP_MS;
    }
    return new Reply(200, clock().toString());
  }

  private Reply hold(JsonNode body) throws InterruptedException {
    extendLease(body);
    long seen = body.path("ackCursor").asLong(0);
    ends.removeIf(e -> e.number() <= seen);
    long untilMs = rig.nowMs() + Math.min(2_000, body.path("waitMs").asLong(0));
    while (ends.isEmpty() && rig.nowMs() < untilMs && !dark) {
      rig.lock.wait(Math.max(1, untilMs - rig.nowMs()));
    }
    ObjectNode answer = clock().put("born", bornMs);
    ArrayNode running = answer.putArray("running");
    for (Run r : runs.values()) {
      running.addArray().add(r.task).add(r.run).add(r.saved).add(percent(r)).add(0);
    }
    ArrayNode finished = answer.putArray("finished");
    ends.stream()
        .limit(MAX_LISTED_ENDS)
        .forEach(
            e ->
                finished
                    .addArray()
                    .add(e.number())
                    .add(e.task())
                    .add(e.run())
                    .add(e.how())
                    .add(e.saved()));
    return new Reply(200, answer.toString());
  }

  private int percent(Run r) {
    if (r.workSinceMs == 0) {
      return 0;
    }
    long workedMs = rig.nowMs() - r.workSinceMs;
    long percent = workedMs * 100 / Math.max(1, r.item.workMs());
    return (int) Math.min(r.item.lasting() ? 100 : 99, percent);
  }

  void end(Run r, String how) {
    runs.remove(r.task);
    highestEnded.merge(r.task, r.run, Math::max);
    ends.add(new End(++lastEnd, r.task, r.run, how, r.saved));
    rig.ended(this, r, how);
    rig.lock.notifyAll();
  }

  /** Ends what is due; called every few milliseconds with the rig's lock. */
  void tick() {
    if (down) {
      return;
    }
    for (Run r : List.copyOf(runs.values())) {
      long now = rig.nowMs();
      if (clockMs() >= leaseMs) {
        end(r, "lapsed");
      } else if (r.stopAtMs > 0 && now >= r.stopAtMs) {
        end(r, "stopped");
      } else if (now >= r.endAtMs) {
        end(r, r.how);
      } else if (r.item.gang() && r.workSinceMs == 0 && now - r.startedMs >= GANG_TIMEOUT_MS) {
        end(r, "alone");
      }
    }
  }
}
