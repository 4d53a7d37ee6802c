package dev.toucanstall.testbed.bench;

import dev.toucanstall.core.job.ActiveRun;
import dev.toucanstall.core.job.FinishedRun;
import dev.toucanstall.core.job.Resources;
import dev.toucanstall.core.job.ServerEntry;
import dev.toucanstall.core.job.TaskKey;
import dev.toucanstall.core.model.Address;
import dev.toucanstall.core.plan.LeaseRenewalResult;
import dev.toucanstall.core.plan.PlanEffect;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** A backend server that obeys at once. Not thread-safe. */
final class PlannerServer {

  /** What every backend server has. */
  static final Resources CAPACITY = new Resources(64_000, 131_072, 0);

  private static final int FULL = 100;

  final String id;
  final String machine;
  final String service;
  final long bornMs;
  private final Map<TaskKey, Long> running = new LinkedHashMap<>();
  private final List<FinishedRun> ended = new ArrayList<>();
  private long ends;

  /** Answers the renewal that waits for an end. */
  @Nullable Runnable waiting;

  PlannerServer(String id, String machine, String service, long bornMs) {
    this.id = id;
    this.machine = machine;
    this.service = service;
    this.bornMs = bornMs;
  }

  ServerEntry entry(long nowMs) {
    return new ServerEntry(
        id,
        bornMs,
        service,
        new Address("10.1.0.1", 9_000),
        "dc",
        false,
        CAPACITY,
        Set.of("kind-a", "rack-" + Math.floorMod(id.hashCode(), 32)),
        clock(nowMs));
  }

  long clock(long nowMs) {
    return nowMs - bornMs;
  }

  void start(TaskKey task, long run) {
    running.put(task, run);
  }

  void end(TaskKey task, long run, FinishedRun.Outcome how) {
    if (running.remove(task, run)) {
      ended.add(new FinishedRun(++ends, task, run, how, ""));
      Runnable answer = waiting;
      if (answer != null) {
        waiting = null;
        answer.run();
      }
    }
  }

  void acknowledge(PlanEffect.Hold hold) {
    ended.removeIf(end -> end.number() <= hold.acknowledgedCompletion());
  }

  boolean hasEnds() {
    return !ended.isEmpty();
  }

  LeaseRenewalResult lists(long nowMs) {
    List<ActiveRun> rows =
        running.entrySet().stream()
            .map(e -> new ActiveRun(e.getKey(), e.getValue(), "", FULL, 0))
            .toList();
    return new LeaseRenewalResult.Listed(bornMs, clock(nowMs), rows, List.copyOf(ended));
  }
}
