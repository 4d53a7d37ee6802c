package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.ActiveRun;
import dev.toucanstall.core.job.FinishedRun;
import dev.toucanstall.core.job.Resources;
import dev.toucanstall.core.job.ServerEntry;
import dev.toucanstall.core.job.StepSpec;
import dev.toucanstall.core.job.TaskKey;
import dev.toucanstall.core.model.Address;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A backend server in a test: fences, leases, runs and ends as the platform's page tells them. */
final class FakeServer {

  private static final long LONGEST_HOLD_MS = 10_000;
  private static final long CLOCK_AT_BIRTH_MS = 500;

  /** A run that is present. */
  record Run(long run, long startedMs, long endsMs) {}

  final String id;
  final String machine;
  final String service;
  final Resources capacity;
  final long bornMs;
  final Map<TaskKey, Run> running = new LinkedHashMap<>();
  final List<FinishedRun> ended = new ArrayList<>();
  final Map<TaskKey, Long> over = new HashMap<>();
  boolean up = true;
  boolean reachable = true;
  boolean draining;

  /** Whether it carries out starts but answers none. */
  boolean mute;

  /** How much later than others its lists reach the planner, in milliseconds. */
  long listsLateMs;

  long fence;
  long leaseMs;
  long ends;
  long lapsedMs;
  private final Map<Long, Long> endedMs = new HashMap<>();

  /** Told of each start, to check promises. */
  interface Observer {

    /** A run begins. */
    void started(FakeServer server, TaskKey task, long run, long nowMs);

    /** A run is over. */
    void over(FakeServer server, TaskKey task, long run, FinishedRun.Outcome how);

    /** An end was taken note of; tells whether the lease had run out since. */
    void noted(FinishedRun end, long endedMs, boolean lapsed);
  }

  private final Observer observer;

  FakeServer(
      String id,
      String machine,
      String service,
      Resources capacity,
      long bornMs,
      Observer observer) {
    this.id = id;
    this.machine = machine;
    this.service = service;
    this.capacity = capacity;
    this.bornMs = bornMs;
    this.observer = observer;
  }

  /** Each life counts its own time. */
  long clock(long nowMs) {
    return nowMs - bornMs + CLOCK_AT_BIRTH_MS;
  }

  ServerEntry entry(long nowMs) {
    int port = 1 + Math.floorMod(id.hashCode(), 60_000);
    return new ServerEntry(
        id,
        bornMs,
        service,
        new Address("10.0.0.1", port),
        "dc",
        draining,
        capacity,
        Set.of(),
        clock(nowMs));
  }

  /** Ends what is due and, if the lease has run out, all the rest. */
  void pass(long nowMs) {
    List<TaskKey> due =
        running.entrySet().stream()
            .filter(e -> e.getValue().endsMs() <= nowMs)
            .map(Map.Entry::getKey)
            .toList();
    due.forEach(task -> end(task, FinishedRun.Outcome.DONE, nowMs));
    if (nowMs > leaseMs) {
      lapsedMs = nowMs;
      List.copyOf(running.keySet()).forEach(task -> end(task, FinishedRun.Outcome.LAPSED, nowMs));
    }
  }

  void end(TaskKey task, FinishedRun.Outcome how, long nowMs) {
    Run run = running.remove(task);
    if (run == null) {
      return;
    }
    over.merge(task, run.run(), Math::max);
    endedMs.put(ends + 1, nowMs);
    ended.add(new FinishedRun(++ends, task, run.run(), how, ""));
    observer.over(this, task, run.run(), how);
  }

  void crash() {
    up = false;
    running.forEach(
        (task, run) -> observer.over(this, task, run.run(), FinishedRun.Outcome.LAPSED));
    running.clear();
  }

  /** Returns when a lease that ends at a time of this life's clock runs out. */
  private long lease(long untilClockMs, long nowMs) {
    return nowMs + Math.min(untilClockMs - clock(nowMs), LONGEST_HOLD_MS);
  }

  OrderResult start(PlanEffect.Start start, StepSpec step, long lengthMs, long nowMs) {
    if (start.fencingToken() < fence) {
      return new OrderResult.Rejected(OrderResult.Reason.FENCED, clock(nowMs));
    }
    fence = start.fencingToken();
    Run present = running.get(start.task());
    if (present != null && present.run() == start.run()) {
      return new OrderResult.Obeyed(clock(nowMs));
    }
    if (start.deadlineMs() < clock(nowMs)) {
      return new OrderResult.Rejected(OrderResult.Reason.LATE, clock(nowMs));
    }
    if (present != null || over.getOrDefault(start.task(), 0L) >= start.run()) {
      return new OrderResult.Rejected(OrderResult.Reason.OLD, clock(nowMs));
    }
    leaseMs = Math.max(leaseMs, lease(start.deadlineMs(), nowMs));
    long end = step.lasting() ? Long.MAX_VALUE : nowMs + lengthMs;
    running.put(start.task(), new Run(start.run(), nowMs, end));
    observer.started(this, start.task(), start.run(), nowMs);
    return new OrderResult.Obeyed(clock(nowMs));
  }

  OrderResult stop(PlanEffect.Stop stop, long nowMs) {
    if (stop.fencingToken() < fence) {
      return new OrderResult.Rejected(OrderResult.Reason.FENCED, clock(nowMs));
    }
    fence = stop.fencingToken();
    over.merge(stop.task(), stop.run(), Math::max);
    Run present = running.get(stop.task());
    if (present != null && present.run() <= stop.run()) {
      end(stop.task(), FinishedRun.Outcome.STOPPED, nowMs);
    }
    return new OrderResult.Obeyed(clock(nowMs));
  }

  private long at(FinishedRun end) {
    return endedMs.getOrDefault(end.number(), 0L);
  }

  LeaseRenewalResult hold(PlanEffect.Hold hold, long nowMs) {
    if (hold.fencingToken() < fence) {
      return new LeaseRenewalResult.Failed(
          new OrderResult.Rejected(OrderResult.Reason.FENCED, clock(nowMs)));
    }
    fence = hold.fencingToken();
    if (hold.leaseExpiryMs() > 0) {
      leaseMs = Math.max(leaseMs, lease(hold.leaseExpiryMs(), nowMs));
    }
    ended.stream()
        .filter(end -> end.number() <= hold.acknowledgedCompletion())
        .forEach(end -> observer.noted(end, at(end), lapsedMs > at(end)));
    ended.removeIf(end -> end.number() <= hold.acknowledgedCompletion());
    List<ActiveRun> rows =
        running.entrySet().stream()
            .map(e -> new ActiveRun(e.getKey(), e.getValue().run(), "", 100, 0))
            .toList();
    return new LeaseRenewalResult.Listed(bornMs, clock(nowMs), rows, List.copyOf(ended));
  }
}
