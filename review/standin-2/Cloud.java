import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Stand-in for the platform's interface for machines. A machine has the worker of the same number;
 * one in the pool {@code pool-z} is off. Fences are not checked.
 */
final class Cloud extends HttpStandIn {

  /** An order for a machine, as it arrived. */
  record Order(String machine, String pool, String holder, long fence, long atMs) {}

  private static final long MOVE_MS = 1_500;

  /** Machines that are off, by name, with the time at which each joins another pool. */
  private final Map<String, Long> offUntilMs = new LinkedHashMap<>();

  private final Map<String, String> nextPool = new LinkedHashMap<>();
  private final List<Order> orders = new ArrayList<>();

  Cloud(Rig rig) throws IOException {
    super(rig);
  }

  void addOff(String machine) {
    synchronized (rig.lock) {
      offUntilMs.put(machine, Long.MAX_VALUE);
    }
  }

  List<Order> orders() {
    synchronized (rig.lock) {
      return List.copyOf(orders);
    }
  }

  /** Takes note of a call even while the interface is silent. */
  @Override
  void arrived(Call call) {
    if (call.path().equals("/-/machine-move")) {
      JsonNode body = rig.parse(call.body());
      Order order =
          new Order(
              body.path("machine").asText(),
              body.path("pool").asText(),
              call.header("Duty-Holder"),
              Long.parseLong(call.header("Fencing-Token")),
              rig.nowMs());
      synchronized (rig.lock) {
        orders.add(order);
        rig.lock.notifyAll();
      }
      rig.log(
          "order: machine %s to %s by %s with fence number %d%s"
              .formatted(
                  order.machine(),
                  order.pool(),
                  order.holder(),
                  order.fence(),
                  dark ? ", not answered" : ""));
    }
  }

  @Override
  Reply answer(Call call) throws Exception {
    synchronized (rig.lock) {
      if (call.path().equals("/-/machine-move")) {
        return move(rig.parse(call.body()));
      }
      if (!call.path().equals("/-/machines")) {
        return new Reply(409, "{\"reason\":\"busy\"}");
      }
      ObjectNode answer = rig.object();
      ArrayNode machines = answer.putArray("machines");
      for (Worker w : rig.workers) {
        row(machines, w.machine, w.service, w.dark ? "down" : "up", w.id, w.rack, w.cpu);
      }
      for (Map.Entry<String, Long> off : offUntilMs.entrySet()) {
        boolean moves = off.getValue() != Long.MAX_VALUE;
        String pool = moves ? nextPool.get(off.getKey()) : "pool-z";
        row(machines, off.getKey(), pool, moves ? "moving" : "up", "", "r1-0", 64_000);
      }
      answer.putNull("nextToken");
      return new Reply(200, answer.toString());
    }
  }

  private Reply move(JsonNode body) {
    String machine = body.path("machine").asText();
    Long until = offUntilMs.get(machine);
    if (until == null) {
      boolean done =
          rig.workers.stream()
              .anyMatch(
                  w -> w.machine.equals(machine) && w.service.equals(body.path("pool").asText()));
      return done ? new Reply(200, "{}") : new Reply(409, "{\"reason\":\"busy\"}");
    }
    if (until == Long.MAX_VALUE) {
      offUntilMs.put(machine, rig.nowMs() + MOVE_MS);
      nextPool.put(machine, body.path("pool").asText());
    }
    return new Reply(200, "{}");
  }

  /** Lets the machines whose move is over join their pool. */
  void tick() throws IOException {
    List<String> joined = new ArrayList<>();
    synchronized (rig.lock) {
      offUntilMs.forEach(
          (machine, until) -> {
            if (rig.nowMs() >= until) {
              joined.add(machine);
            }
          });
      joined.forEach(offUntilMs::remove);
    }
    for (String machine : joined) {
      rig.addWorker("i-" + machine, nextPool.get(machine), "r1-0", 64_000, machine);
    }
  }

  private static void row(
      ArrayNode machines,
      String machine,
      String pool,
      String state,
      String id,
      String rack,
      long cpu) {
    ObjectNode m = machines.addObject();
    m.put("machine", machine).put("pool", pool).put("state", state).put("zone", "zone-a");
    m.putArray("labels").add("a").add(rack);
    m.putObject("capacity").put("cpu", cpu).put("memMb", 131_072).put("gpu", 0);
    m.put("id", id);
  }
}
