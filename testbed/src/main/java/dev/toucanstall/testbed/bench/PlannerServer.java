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

/** Simulated backend server that carries out orders at once. Not thread-safe. */
final class PlannerServer {

  /** Capacity of every backend server. */
  static final Resources CAPACITY = new Resources(64_000, 131_072, 0);

  private static final int DONE_PERCENT = 100;

  final String id;
  final String machine;
  final String service;
  final long startTimeMs;
  private final Map<TaskKey, Long> running = new LinkedHashMap<>();
  private final List<FinishedRun> finished = new ArrayList<>();
  private long completions;

  /** Answers the lease renewal that waits for a finished run; null if none waits. */
  @Nullable Runnable pendingRenewal;

  PlannerServer(String id, String machine, String service, long startTimeMs) {
    this.id = id;
    this.machine = machine;
    this.service = service;
    this.startTimeMs = startTimeMs;
  }

  ServerEntry entry(long nowMs) {
    return new ServerEntry(
        id,
        startTimeMs,
        service,
        new Address("10.1.0.1", 9_000),
        "dc",
        false,
        CAPACITY,
        Set.of("kind-a", "rack-" + Math.floorMod(id.hashCode(), 32)),
        clockMs(nowMs));
  }

  long clockMs(long nowMs) {
    return nowMs - startTimeMs;
  }

  void start(TaskKey task, long run) {
    running.put(task, run);
  }

  void finish(TaskKey task, long run, FinishedRun.Outcome outcome) {
    if (running.remove(task, run)) {
      finished.add(new FinishedRun(++completions, task, run, outcome, ""));
      Runnable answer = pendingRenewal;
      if (answer != null) {
        pendingRenewal = null;
        answer.run();
      }
    }
  }

  void acknowledge(PlanEffect.Hold renewal) {
    finished.removeIf(end -> end.number() <= renewal.acknowledgedCompletion());
  }

  boolean hasFinishedRuns() {
    return !finished.isEmpty();
  }

  LeaseRenewalResult renewalResult(long nowMs) {
    List<ActiveRun> rows =
        running.entrySet().stream()
            .map(e -> new ActiveRun(e.getKey(), e.getValue(), "", DONE_PERCENT, 0))
            .toList();
    return new LeaseRenewalResult.Listed(startTimeMs, clockMs(nowMs), rows, List.copyOf(finished));
  }
}
