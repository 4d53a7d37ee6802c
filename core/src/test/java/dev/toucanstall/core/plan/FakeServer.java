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

/**
 * A simulated backend server: checks fencing tokens, lets runs lapse with its lease, and lists
 * active and finished runs, as backend servers of the platform do.
 */
final class FakeServer {

  /** Longest lease that a backend server grants, in milliseconds. */
  private static final long LONGEST_HOLD_MS = 10_000;

  /** Reading of the steady clock at the start of the process, in milliseconds. */
  private static final long CLOCK_AT_BIRTH_MS = 500;

  /**
   * An active run.
   *
   * @param run the run's number
   * @param startedMs start, in milliseconds of the simulated time
   * @param endsMs completion, in milliseconds of the simulated time; {@code Long.MAX_VALUE} for a
   *     lasting task
   */
  record Run(long run, long startedMs, long endsMs) {}

  /** Id, which a restarted backend server has again. */
  final String id;

  /** Name of the machine. */
  final String machine;

  /** Pool that the backend server belongs to. */
  final String service;

  /** Resources for tasks. */
  final Resources capacity;

  /** Start time of this incarnation, in milliseconds of the simulated time. */
  final long bornMs;

  /** Active run of each task. */
  final Map<TaskKey, Run> running = new LinkedHashMap<>();

  /** Finished runs that the planner has not acknowledged, oldest first. */
  final List<FinishedRun> ended = new ArrayList<>();

  /** Highest run of each task that has finished or was stopped; runs up to it never start. */
  final Map<TaskKey, Long> over = new HashMap<>();

  /** Whether the process runs. */
  boolean up = true;

  /** Whether the network delivers calls to the backend server; without it they time out. */
  boolean reachable = true;

  /** Whether the list of backend servers shows this one as draining. */
  boolean draining;

  /** Whether starts are carried out but not answered. */
  boolean mute;

  /** Additional delay of the answers to lease renewals, in milliseconds. */
  long listsLateMs;

  /** Highest fencing token seen. */
  long fence;

  /** Expiry of the lease, in milliseconds of the simulated time. */
  long leaseMs;

  /** Number of the last finished run. */
  long ends;

  /**
   * Latest time at which the lease was found expired, in milliseconds of the simulated time, 0 if
   * never.
   */
  long lapsedMs;

  /** Completion time of each finished run by its number, in milliseconds of the simulated time. */
  private final Map<Long, Long> endedMs = new HashMap<>();

  /** Receives notifications of starts and completions, to check invariants. */
  interface Observer {

    /** Called after a run has started. */
    void started(FakeServer server, TaskKey task, long run, long nowMs);

    /** Called after a run has finished. */
    void over(FakeServer server, TaskKey task, long run, FinishedRun.Outcome how);

    /**
     * Called when the planner acknowledges a finished run.
     *
     * @param end the finished run
     * @param endedMs its completion time, in milliseconds of the simulated time, 0 if unknown
     * @param lapsed whether the lease was found expired after the completion
     */
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

  /** Returns the steady clock of this incarnation, in milliseconds. */
  long clock(long nowMs) {
    return nowMs - bornMs + CLOCK_AT_BIRTH_MS;
  }

  /** Returns the entry of the list of backend servers. */
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

  /** Finishes the runs that are due and, if the lease has expired, all others. */
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

  /** Finishes the active run of a task; does nothing if there is none. */
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

  /** Ends the process with all its runs. */
  void crash() {
    up = false;
    running.forEach(
        (task, run) -> observer.over(this, task, run.run(), FinishedRun.Outcome.LAPSED));
    running.clear();
  }

  /**
   * Returns the simulated time at which a lease that is given on the clock of this incarnation
   * expires, in milliseconds.
   */
  private long lease(long untilClockMs, long nowMs) {
    return nowMs + Math.min(untilClockMs - clock(nowMs), LONGEST_HOLD_MS);
  }

  /**
   * Carries out an order to start a run that takes {@code lengthMs} milliseconds; a lasting run has
   * no length.
   */
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

  /** Carries out an order to stop a run, or to prevent its start. */
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

  /** Returns the completion time of a finished run, 0 if unknown. */
  private long at(FinishedRun end) {
    return endedMs.getOrDefault(end.number(), 0L);
  }

  /**
   * Renews the lease, drops the finished runs that the planner acknowledges, and lists the others.
   */
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
