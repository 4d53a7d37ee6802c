import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/**
 * Stand-in for a worker, as PROTOCOL.md describes it. The text of a job says what its work items
 * do: "ms=300" ends done after 300 ms of work, "fails ms=300" ends failed after that, "lasts" is at
 * work until it is stopped, "gang=4" works only while 4 members of a run are present. All state is
 * guarded by the lock of the rig.
 */
final class Worker {

  /** Longest lease, in milliseconds. */
  private static final long HOLD_MAX_MS = 10_000;

  /** Time that a stop takes, in milliseconds. */
  private static final long STOP_MS = 50;

  /** Time until a work item that lasts is at work, in milliseconds. */
  private static final long START_UP_MS = 300;

  static final long GANG_TIMEOUT_MS = 3_000;
  private static final int MAX_ENDS = 500;

  /** Time after which the channel of an order without an answer ends, in milliseconds. */
  private static final long HELD_BACK_MS = 5_000;

  /** A run that is present. */
  static final class Run {
    String task;
    long run;
    String text;
    long cpu;
    long startedMs;
    String saved = "";
    long savedMs;

    /** Time at which the run began to work, 0 before. */
    long workingMs;

    /** Time at which the stop is complete, 0 if none is under way. */
    long stopsMs;

    int number(String name, int otherwise) {
      for (String word : text.split(" ")) {
        if (word.startsWith(name + "=")) {
          return Integer.parseInt(word.substring(name.length() + 1));
        }
      }
      return otherwise;
    }

    boolean has(String word) {
      return List.of(text.split(" ")).contains(word);
    }

    String gang() {
      return task.substring(0, task.lastIndexOf('.')) + "#" + run;
    }
  }

  private record End(long number, String task, long run, String how, String saved) {}

  final Rig rig;
  final String id;
  final String pool;
  final String rack;
  final long cpu;

  /** Label that names the kind of the worker in this lifetime. */
  String kind = "a";

  private final HttpServer server;
  private long bornUnixMs = System.currentTimeMillis();
  private long bornMs = System.nanoTime() / 1_000_000;
  private long sequence;
  private long fence;
  private long leaseMs;
  private long lastEnd;
  final Map<String, Run> runs = new LinkedHashMap<>();
  private final Map<String, Long> ended = new HashMap<>();
  private List<End> ends = new ArrayList<>();
  String state = "ready";
  boolean gone;

  /** Number of the lifetime, from 0. */
  int lifetime;

  /** Whether the worker is cut off from all entry instances; calls to it get no answer. */
  boolean cut;

  Worker(Rig rig, String id, String pool, String rack, long cpu) throws IOException {
    this.rig = rig;
    this.id = id;
    this.pool = pool;
    this.rack = rack;
    this.cpu = cpu;
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext("/", this::handle);
    server.start();
  }

  long clockMs() {
    return System.nanoTime() / 1_000_000 - bornMs;
  }

  /** Writes the worker's status report to the store. */
  void report() {
    ObjectNode entry = Store.JSON.createObjectNode();
    entry.put("upstream", pool).put("address", "127.0.0.1:" + server.getAddress().getPort());
    entry.put("zone", "zone-a").put("version", "v1").put("slots", 8).put("state", state);
    entry.put("coldRemainingMs", 0).put("clockMs", clockMs()).put("born", bornUnixMs);
    entry.put("sequence", ++sequence);
    entry.putObject("capacity").put("cpu", cpu).put("memMb", 131_072).put("gpu", 0);
    entry.putArray("labels").add(kind).add(rack);
    rig.store.write("keyed.servers", id, entry);
  }

  /** Ends the worker for good, without a word. */
  void crash() {
    synchronized (rig.lock) {
      gone = true;
      runs.clear();
      rig.lock.notifyAll();
    }
    server.stop(0);
    rig.log(id + " crashes");
  }

  /** Ends this lifetime; from now on calls get no answer. */
  void goDark() {
    synchronized (rig.lock) {
      cut = true;
      runs.clear();
      rig.lock.notifyAll();
    }
    rig.log(id + " crashes and is silent");
  }

  /** Begins another lifetime under the same id and at the same address. */
  void restart(String newKind) {
    synchronized (rig.lock) {
      beginLifetime();
      kind = newKind;
      cut = false;
      report();
      rig.lock.notifyAll();
    }
    rig.log(id + " starts again, of kind " + newKind);
  }

  private void beginLifetime() {
    runs.clear();
    ended.clear();
    ends = new ArrayList<>();
    lastEnd = 0;
    fence = 0;
    leaseMs = 0;
    sequence = 0;
    bornUnixMs = System.currentTimeMillis();
    bornMs = System.nanoTime() / 1_000_000;
    lifetime++;
  }

  /** Begins another lifetime under the same id behind a cut, of which no other process knows. */
  void restartBehindCut() {
    synchronized (rig.lock) {
      beginLifetime();
    }
    rig.log(id + " starts again behind the cut");
  }

  /** Ends the cut. */
  void rejoin() {
    synchronized (rig.lock) {
      cut = false;
      report();
      rig.lock.notifyAll();
    }
    rig.log(id + " is reached again");
  }

  /** Carries out an order to start that had no answer. */
  void startLate(JsonNode body) {
    int[] status = {200};
    ObjectNode answer;
    synchronized (rig.lock) {
      long token = body.path("fencingToken").asLong(0);
      if (token < fence) {
        answer = refuse(status, "fence");
      } else {
        fence = token;
        answer = start(body, status);
      }
    }
    rig.log("%s carries out a late order: %d %s".formatted(id, status[0], answer));
  }

  void close() {
    server.stop(0);
  }

  private void handle(HttpExchange exchange) throws IOException {
    try (exchange) {
      JsonNode body = Store.JSON.readTree(exchange.getRequestBody().readAllBytes());
      String wanted = exchange.getRequestHeaders().getFirst("Expect-Instance");
      int[] status = {200};
      ObjectNode answer;
      synchronized (rig.lock) {
        int arrivedIn = lifetime;
        boolean lost = cut;
        while (cut && !gone) {
          rig.lock.wait(100);
        }
        if (gone || lost) {
          return;
        }
        if (exchange.getRequestURI().getPath().equals("/-/run-start") && rig.holdsBack(this, body)) {
          rig.lock.wait(HELD_BACK_MS);
          return;
        }
        if (wanted != null && !wanted.equals(id)) {
          status[0] = 421;
          answer = Store.JSON.createObjectNode();
        } else {
          answer = answer(exchange.getRequestURI().getPath(), body, status);
        }
        if (gone || cut || lifetime != arrivedIn) {
          return;
        }
      }
      byte[] bytes = answer.toString().getBytes(StandardCharsets.UTF_8);
      exchange.sendResponseHeaders(status[0], bytes.length);
      exchange.getResponseBody().write(bytes);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private ObjectNode answer(String path, JsonNode body, int[] status) throws InterruptedException {
    long token = body.path("fencingToken").asLong(0);
    if (token < fence) {
      return refuse(status, "fence");
    }
    fence = token;
    return switch (path) {
      case "/-/run-start" -> start(body, status);
      case "/-/run-stop" -> stop(body);
      case "/-/hold" -> hold(body);
      case "/-/pace" -> clockBody();
      default -> {
        status[0] = 404;
        yield clockBody();
      }
    };
  }

  private ObjectNode clockBody() {
    return Store.JSON.createObjectNode().put("clockMs", clockMs()).put("born", bornUnixMs);
  }

  private ObjectNode refuse(int[] status, String reason) {
    status[0] = 409;
    return clockBody().put("reason", reason);
  }

  private void extendLease(JsonNode body) {
    if (body.has("deadlineMs")) {
      long deadlineMs = body.path("deadlineMs").asLong();
      leaseMs = Math.max(leaseMs, Math.min(deadlineMs, clockMs() + HOLD_MAX_MS));
    }
  }

  private ObjectNode start(JsonNode body, int[] status) {
    String task = body.path("task").asText();
    long number = body.path("run").asLong();
    Run present = runs.get(task);
    if (body.has("deadlineMs") && body.path("deadlineMs").asLong() < clockMs()) {
      return refuse(status, "late");
    }
    extendLease(body);
    if (present != null && present.run == number) {
      return clockBody();
    }
    if (number <= ended.getOrDefault(task, 0L) || present != null) {
      return refuse(status, "old");
    }
    long need = rig.cpuOf(task);
    long used = runs.values().stream().mapToLong(r -> r.cpu).sum();
    if (used + need > cpu) {
      return refuse(status, "room");
    }
    Run run = new Run();
    run.task = task;
    run.run = number;
    run.text = body.path("spec").asText();
    run.cpu = need;
    run.startedMs = rig.nowMs();
    run.saved = body.path("checkpoint").asText("");
    runs.put(task, run);
    rig.started(this, run);
    return clockBody();
  }

  private ObjectNode stop(JsonNode body) {
    String task = body.path("task").asText();
    long number = body.path("run").asLong();
    Run present = runs.get(task);
    ended.merge(task, number, Math::max);
    if (present != null && present.run <= number && present.stopsMs == 0) {
      present.stopsMs = rig.nowMs() + STOP_MS;
    }
    return clockBody();
  }

  private ObjectNode hold(JsonNode body) throws InterruptedException {
    extendLease(body);
    long ack = body.path("ackCursor").asLong(0);
    ends.removeIf(e -> e.number <= ack);
    long untilMs = rig.nowMs() + Math.min(2_000, body.path("waitMs").asLong(0));
    while (ends.isEmpty() && rig.nowMs() < untilMs && !gone) {
      rig.lock.wait(Math.max(1, untilMs - rig.nowMs()));
    }
    ObjectNode answer = clockBody();
    ArrayNode running = answer.putArray("running");
    runs.values()
        .forEach(
            r ->
                running
                    .addArray()
                    .add(r.task)
                    .add(r.run)
                    .add(r.saved)
                    .add(percent(r))
                    .add(0));
    ArrayNode finished = answer.putArray("finished");
    ends.stream()
        .limit(MAX_ENDS)
        .forEach(
            e -> finished.addArray().add(e.number).add(e.task).add(e.run).add(e.how).add(e.saved));
    return answer;
  }

  private int percent(Run run) {
    if (run.has("lasts")) {
      return rig.nowMs() - run.startedMs >= START_UP_MS ? 100 : 0;
    }
    long workMs = run.workingMs == 0 ? 0 : rig.nowMs() - run.workingMs;
    return (int) Math.min(99, 100 * workMs / Math.max(1, run.number("ms", 300)));
  }

  /** Ends a run that is present. */
  void end(Run run, String how) {
    if (runs.remove(run.task, run)) {
      ended.merge(run.task, run.run, Math::max);
      ends.add(new End(++lastEnd, run.task, run.run, how, run.saved));
      rig.ended(this, run, how);
      rig.lock.notifyAll();
    }
  }

  /** Advances all runs; called every few milliseconds with the lock held. */
  void advance() {
    if (gone) {
      return;
    }
    for (Run run : List.copyOf(runs.values())) {
      if (clockMs() > leaseMs) {
        end(run, "lapsed");
      } else if (run.stopsMs > 0 && rig.nowMs() >= run.stopsMs) {
        end(run, "stopped");
      } else if (!run.has("lasts")) {
        work(run);
      }
    }
  }

  private void work(Run run) {
    int gang = run.number("gang", 1);
    if (run.workingMs == 0) {
      if (gang <= 1 || rig.present(run.gang()) >= gang) {
        run.workingMs = rig.nowMs();
        run.savedMs = rig.nowMs();
      } else if (rig.nowMs() - run.startedMs > GANG_TIMEOUT_MS) {
        end(run, "alone");
        return;
      }
    }
    if (run.workingMs == 0) {
      return;
    }
    if (gang > 1 && rig.present(run.gang()) < gang && !rig.gangDone(run.gang())) {
      end(run, "broken");
      return;
    }
    if (run.has("saves") && rig.nowMs() - run.savedMs >= 1_000) {
      run.savedMs += 1_000;
      run.saved = rig.newCheckpoint(this, run);
    }
    if (rig.nowMs() - run.workingMs >= run.number("ms", 300)) {
      boolean fails = run.has("fails") && run.run <= run.number("times", Integer.MAX_VALUE);
      if (!fails && gang > 1) {
        rig.markGangDone(run.gang());
      }
      end(run, fails ? "failed" : "done");
    }
  }
}
