package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.JobPhase;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Runs that have failed on a backend server since the last one that succeeded there, and the
 * suspension that follows. Owned by the control thread.
 *
 * <p>A failed run is the fault of its job or of its backend server. Failures of different steps on
 * one backend server are evidence against the backend server, failures of one step on several
 * backend servers against the step. Once a run of a step has succeeded elsewhere, each of its tasks
 * that has failed on this backend server alone counts.
 */
final class ServerFailures {

  /** Weight of the failures from which a backend server is suspended. */
  private static final long SUSPEND_FROM = 2;

  /** Length of the first suspension, in milliseconds; doubles with each further one. */
  private static final long FIRST_SUSPENSION_MS = 2_000;

  /** Longest suspension, in milliseconds. */
  private static final long MAX_SUSPENSION_MS = 16_000;

  /** Tasks that have failed here, by their step. */
  private final Map<StepTasks, Set<Task>> failedTasks = new LinkedHashMap<>();

  /** End of the suspension, in milliseconds of the monotonic clock, 0 if there is none. */
  private long suspendedUntilMs;

  /** Number of suspensions since the last run that succeeded. */
  private int suspensions;

  /** Adds a failed run of a task. */
  void add(Task task) {
    failedTasks.computeIfAbsent(task.siblings, step -> new HashSet<>()).add(task);
  }

  /** Forgets all failures and ends the suspension, because a run has succeeded. */
  void clear() {
    failedTasks.clear();
    suspensions = 0;
    suspendedUntilMs = 0;
  }

  /** Returns whether the failures are taken for the fault of the backend server. */
  boolean isAtFault() {
    return failedTasks.keySet().stream().mapToLong(this::weight).sum() >= SUSPEND_FROM;
  }

  /** Returns whether some failure may be the fault of the backend server. */
  boolean mayBeAtFault() {
    return failedTasks.keySet().stream().anyMatch(step -> weight(step) > 0);
  }

  /** Returns how much the failures of a step weigh against the backend server. */
  long weight(StepTasks step) {
    Set<Task> failed = failedTasks.getOrDefault(step, Set.of());
    if (failed.isEmpty() || step.job.phase == JobPhase.FAILED || step.outcomes.failsEverywhere()) {
      return 0;
    }
    long failedHereOnly = failed.stream().filter(t -> !t.hasFailedOnSeveral()).count();
    return step.outcomes.anySucceeded() ? failedHereOnly : Math.min(1, failedHereOnly);
  }

  /** Returns whether the backend server gets no tasks because of its failures. */
  boolean isSuspended(long nowMs) {
    return nowMs < suspendedUntilMs;
  }

  /**
   * Begins a suspension. Runs that fail during it don't lengthen it.
   *
   * @return its length in milliseconds
   */
  long suspend(long nowMs) {
    long lengthMs = Math.min(MAX_SUSPENSION_MS, FIRST_SUSPENSION_MS << Math.min(8, suspensions));
    suspensions++;
    suspendedUntilMs = nowMs + lengthMs;
    return lengthMs;
  }

  /** Ends the suspension, because the failures turn out to be the fault of their jobs. */
  void resume() {
    suspensions = 0;
    suspendedUntilMs = 0;
  }
}
