package dev.toucanstall.testbed.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.toucanstall.testbed.soak.SoakEffect.PostLater;
import dev.toucanstall.testbed.soak.SoakEvent.Order;
import dev.toucanstall.testbed.soak.SoakState.Run;
import dev.toucanstall.testbed.soak.SoakState.ServerState;
import dev.toucanstall.testbed.soak.SoakState.WaitingHold;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Backend servers: fencing tokens, leases on their own clocks, runs and their ends. */
final class BackendRules {

  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int REJECTED = 409;
  private static final int OTHER_INSTANCE = 421;
  private static final int REPORT_INTERVAL_MS = 1_500;

  /** Time from a report that did not come until the entry is removed. */
  private static final int OVERDUE_MS = 2 * REPORT_INTERVAL_MS;

  private static final int MAX_LEASE_MS = 10_000;
  private static final int MAX_WAIT_MS = 2_000;
  private static final int MAX_ENDS = 500;
  private static final int CPU_CAPACITY = 16_000;
  private static final int MEMORY_MB = 131_072;

  /** Lowest rate of a server's clock. */
  private static final double SLOWEST_CLOCK = 0.98;

  private static final Pattern MILLIS = Pattern.compile("ms=(\\d+)");
  private static final Pattern CPU = Pattern.compile("cpu=(\\d+)");

  private BackendRules() {}

  /** Starts an incarnation, under the id of the last one or a new one, which knows nothing. */
  static void start(
      SoakState state, ServerState server, boolean sameId, long at, List<SoakEffect> effects) {
    if (!sameId || server.id.isEmpty()) {
      if (!server.id.isEmpty()) {
        StoreRules.put(state, "keyed.servers", server.id, new byte[0], effects);
      }
      server.id = "i-%08x".formatted(++state.lastServerId);
    }
    server.up = true;
    server.startedAt = at;
    server.born = System.currentTimeMillis();
    server.clockRate = SLOWEST_CLOCK + (1 - SLOWEST_CLOCK) * state.random.nextDouble();
    server.fence = 0;
    server.deadlineMs = 0;
    server.lastLapseMs = Long.MIN_VALUE;
    server.lastCompletion = 0;
    server.sequence = 0;
    server.nextReportAt = at;
    server.highestRuns.clear();
    server.ends.clear();
    effects.add(note(at, "server w%d starts as %s/%d", server.index, server.id, server.born));
  }

  /** Ends an incarnation: everything that runs there ends, and its ends are forgotten. */
  static void crash(ServerState server, long at, List<SoakEffect> effects) {
    server.up = false;
    server.running.values().forEach(run -> end(run, server, at, "crashed"));
    server.running.clear();
    server.waiting.forEach(
        hold -> effects.add(new SoakEffect.Reply(hold.handle(), 0, new byte[0])));
    server.waiting.clear();
    effects.add(note(at, "server w%d %s ends", server.index, server.id));
  }

  static void tick(SoakState state, long at, List<SoakEffect> effects) {
    for (ServerState server : state.servers) {
      if (server.up) {
        advance(state, server, at, effects);
        report(state, server, at, effects);
      } else if (at > server.nextReportAt + OVERDUE_MS) {
        forget(state, server, effects);
      }
    }
  }

  /** Removes the entry of a server that has been silent for some reports. */
  private static void forget(SoakState state, ServerState server, List<SoakEffect> effects) {
    if (state.store.topic("keyed.servers").newest.containsKey(server.id)) {
      StoreRules.put(state, "keyed.servers", server.id, new byte[0], effects);
    }
  }

  private static void report(
      SoakState state, ServerState server, long at, List<SoakEffect> effects) {
    if (at < server.cutFromStoreUntil) {
      if (at > server.nextReportAt + OVERDUE_MS) {
        forget(state, server, effects);
      }
      return;
    }
    if (at < server.nextReportAt) {
      return;
    }
    server.nextReportAt = at + REPORT_INTERVAL_MS;
    ObjectNode entry = StoreRules.JSON.createObjectNode();
    entry.put("upstream", server.service).put("address", server.address).put("zone", "zone-a");
    entry.put("version", "v1").put("slots", 8).put("state", "ready").put("coldRemainingMs", 0);
    entry.put("sequence", ++server.sequence).put("born", server.born);
    entry.put("clockMs", server.clock(at));
    entry.putObject("capacity").put("cpu", CPU_CAPACITY).put("memMb", MEMORY_MB).put("gpu", 0);
    entry.putArray("labels").add("a").add("r1-1");
    byte[] value = entry.toString().getBytes(StandardCharsets.UTF_8);
    StoreRules.put(state, "keyed.servers", server.id, value, effects);
  }

  /** Ends the runs whose time or lease is out, and answers queries that have waited enough. */
  private static void advance(
      SoakState state, ServerState server, long at, List<SoakEffect> effects) {
    long clock = server.clock(at);
    if (clock > server.deadlineMs) {
      server.lastLapseMs = clock;
    }
    for (Run run : List.copyOf(server.running.values())) {
      if (clock > server.deadlineMs) {
        finish(state, server, run, at, "lapsed", effects);
      } else if (!run.lasting && clock >= run.endClockMs) {
        finish(state, server, run, at, "done", effects);
      }
    }
    answerWaiting(server, at, effects);
  }

  private static void answerWaiting(ServerState server, long at, List<SoakEffect> effects) {
    server.waiting.removeIf(
        hold -> {
          boolean due = !server.ends.isEmpty() || server.clock(at) >= hold.untilClockMs();
          if (due) {
            effects.add(lists(server, hold.handle(), at));
          }
          return due;
        });
  }

  private static void finish(
      SoakState state, ServerState server, Run run, long at, String how, List<SoakEffect> effects) {
    server.running.remove(run.task);
    server.highestRuns.merge(run.task, run.number, Math::max);
    run.completion = ++server.lastCompletion;
    server.ends.add(run);
    end(run, server, at, how);
    RunChecks.ended(state, run);
    answerWaiting(server, at, effects);
  }

  private static void end(Run run, ServerState server, long at, String how) {
    run.endAt = at;
    run.endServerClockMs = server.clock(at);
    run.how = how;
  }

  /** Carries out an order, or holds it up: then it is carried out later and never answered. */
  static void order(SoakState state, Order order, List<SoakEffect> effects) {
    ServerState server = state.servers.get(order.server());
    if (!order.late() && order.at() < server.holdOrdersUntil) {
      long delay = 1 + state.random.nextLong(server.holdOrdersMs);
      effects.add(new PostLater(order.heldUp(order.at() + delay, server.born), delay));
      return;
    }
    boolean isForEarlier = order.late() && order.heldBorn() != server.born;
    if (!server.up || (isForEarlier && !state.lateOrdersReachNextIncarnation)) {
      effects.add(new SoakEffect.Reply(order.handle(), 0, new byte[0]));
      return;
    }
    if (!order.expectedId().isEmpty() && !order.expectedId().equals(server.id)) {
      effects.add(new SoakEffect.Reply(order.handle(), OTHER_INSTANCE, new byte[0]));
      return;
    }
    advance(state, server, order.at(), effects);
    long fence = order.body().path("fencingToken").asLong(0);
    if (fence > state.plannerFence) {
      state.plannerFence = fence;
      state.planner = order.entry();
      effects.add(note(order.at(), "entry-%d orders with fence %d", order.entry(), fence));
    }
    if (fence < server.fence) {
      effects.add(reject(server, order, "fence"));
      return;
    }
    server.fence = fence;
    if (order.late()) {
      effects.add(
          note(
              order.at(),
              "late order at w%d%s: %s %s",
              server.index,
              isForEarlier ? " (sent to an earlier incarnation)" : "",
              order.path(),
              order.body()));
    }
    switch (order.path()) {
      case "/-/run-start" -> startRun(state, server, order, effects);
      case "/-/run-stop" -> stopRun(state, server, order, effects);
      case "/-/hold" -> hold(state, server, order, effects);
      default -> effects.add(new SoakEffect.Reply(order.handle(), NOT_FOUND, new byte[0]));
    }
  }

  private static ObjectNode clockBody(ServerState server, long at) {
    return StoreRules.JSON
        .createObjectNode()
        .put("clockMs", server.clock(at))
        .put("born", server.born);
  }

  private static SoakEffect reject(ServerState server, Order order, String reason) {
    ObjectNode body = clockBody(server, order.at()).put("reason", reason);
    return StoreRules.reply(order.handle(), REJECTED, body);
  }

  private static SoakEffect accept(ServerState server, Order order) {
    return StoreRules.reply(order.handle(), OK, clockBody(server, order.at()));
  }

  private static void extendLease(ServerState server, Order order) {
    long asked = order.body().path("deadlineMs").asLong(0);
    long longest = server.clock(order.at()) + MAX_LEASE_MS;
    server.deadlineMs = Math.max(server.deadlineMs, Math.min(asked, longest));
  }

  private static void startRun(
      SoakState state, ServerState server, Order order, List<SoakEffect> effects) {
    JsonNode body = order.body();
    String task = body.path("task").asText();
    long number = body.path("run").asLong();
    Run present = server.running.get(task);
    if (present != null && present.number == number) {
      effects.add(accept(server, order));
      return;
    }
    extendLease(server, order);
    if (present != null || number <= server.highestRuns.getOrDefault(task, 0L)) {
      effects.add(reject(server, order, "old"));
      return;
    }
    long clock = server.clock(order.at());
    if (body.path("deadlineMs").asLong() <= clock) {
      effects.add(reject(server, order, "late"));
      return;
    }
    String spec = body.path("spec").asText();
    int cpu = (int) number(CPU, spec);
    if (server.running.values().stream().mapToInt(run -> run.cpu).sum() + cpu > CPU_CAPACITY) {
      effects.add(reject(server, order, "room"));
      return;
    }
    Run run =
        new Run(
            task,
            number,
            server,
            order,
            clock + number(MILLIS, spec),
            cpu,
            spec.endsWith("lasting"));
    server.running.put(task, run);
    RunChecks.started(state, run, effects);
    effects.add(accept(server, order));
  }

  private static long number(Pattern pattern, String text) {
    Matcher matcher = pattern.matcher(text);
    return matcher.find() ? Long.parseLong(matcher.group(1)) : 1;
  }

  private static void stopRun(
      SoakState state, ServerState server, Order order, List<SoakEffect> effects) {
    String task = order.body().path("task").asText();
    long number = order.body().path("run").asLong();
    server.highestRuns.merge(task, number, Math::max);
    Run present = server.running.get(task);
    if (present != null && present.number <= number) {
      finish(state, server, present, order.at(), "stopped", effects);
    }
    effects.add(accept(server, order));
  }

  private static void hold(
      SoakState state, ServerState server, Order order, List<SoakEffect> effects) {
    extendLease(server, order);
    long cursor = order.body().path("ackCursor").asLong(0);
    List<Run> acknowledged = server.ends.stream().filter(run -> run.completion <= cursor).toList();
    server.ends.removeAll(acknowledged);
    for (Run run : acknowledged) {
      if (server.lastLapseMs < run.endServerClockMs) {
        RunChecks.acknowledged(state, run, order.at(), effects);
      }
    }
    long wait = Math.min(MAX_WAIT_MS, order.body().path("waitMs").asLong(0));
    if (server.ends.isEmpty() && wait > 0) {
      server.waiting.add(new WaitingHold(order.handle(), server.clock(order.at()) + wait));
    } else {
      effects.add(lists(server, order.handle(), order.at()));
    }
  }

  private static SoakEffect lists(ServerState server, long handle, long at) {
    ObjectNode answer = clockBody(server, at);
    ArrayNode running = answer.putArray("running");
    server
        .running
        .values()
        .forEach(run -> running.addArray().add(run.task).add(run.number).add("").add(100).add(0));
    ArrayNode finished = answer.putArray("finished");
    new ArrayList<>(server.ends)
        .stream()
            .limit(MAX_ENDS)
            .forEach(
                run ->
                    finished
                        .addArray()
                        .add(run.completion)
                        .add(run.task)
                        .add(run.number)
                        .add(run.how)
                        .add(""));
    return StoreRules.reply(handle, OK, answer);
  }

  static SoakEffect note(long at, String format, Object... values) {
    return new SoakEffect.Note(at, format.formatted(values), false);
  }
}
