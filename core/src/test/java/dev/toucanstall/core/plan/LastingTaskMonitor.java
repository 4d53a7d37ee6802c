package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.FinishedRun;
import dev.toucanstall.core.job.StepSpec;
import dev.toucanstall.core.job.TaskKey;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Checks that no stop order ends a lasting task while as many others of its step are without a run
 * as its limit allows, and measures the longest time that lasting tasks are without a run.
 */
final class LastingTaskMonitor {

  /**
   * Time without a run after which a task counts as unavailable whatever ended its run, in
   * milliseconds.
   */
  private static final long UNAVAILABLE_AFTER_MS = 5_500;

  /**
   * Time during which a task has no run.
   *
   * @param byOrder whether an order ended the run, so that the task counts as unavailable at once
   * @param sinceMs end of the run, in milliseconds of the monotonic clock
   */
  private record Outage(boolean byOrder, long sinceMs) {

    boolean countsAsUnavailable(long nowMs) {
      return byOrder || nowMs - sinceMs >= UNAVAILABLE_AFTER_MS;
    }
  }

  private final Map<TaskKey, Outage> outages = new HashMap<>();

  /**
   * Whether a lapsed lease counts at once, as a stop order does; set in scenarios without faults of
   * machines or network.
   */
  boolean lapsesCountAsStops;

  /** Longest time without a run that has ended, in milliseconds. */
  private long longestOutageMs;

  void runStarted(TaskKey task, long nowMs) {
    Outage outage = outages.remove(task);
    if (outage != null) {
      longestOutageMs = Math.max(longestOutageMs, nowMs - outage.sinceMs());
    }
  }

  /**
   * Returns the longest time that a lasting task has been without a run, in milliseconds; includes
   * times that have not ended.
   */
  long longestOutageMs(long nowMs) {
    return outages.values().stream()
        .mapToLong(outage -> nowMs - outage.sinceMs())
        .reduce(longestOutageMs, Math::max);
  }

  /**
   * Records the end of a run of a lasting task.
   *
   * @param task the task
   * @param step the step of the task, with the limit of unavailable tasks
   * @param outcome the reason for the end
   * @param nowMs time of the end, in milliseconds of the monotonic clock
   * @return a description of the violation, empty if the limit is kept
   */
  Optional<String> runFinished(
      TaskKey task, StepSpec step, FinishedRun.Outcome outcome, long nowMs) {
    long unavailableOthers =
        outages.entrySet().stream()
            .filter(e -> sameStep(e.getKey(), task) && e.getValue().countsAsUnavailable(nowMs))
            .count();
    boolean stopped = outcome == FinishedRun.Outcome.STOPPED;
    outages.put(
        task,
        new Outage(
            stopped || (lapsesCountAsStops && outcome == FinishedRun.Outcome.LAPSED), nowMs));
    return stopped && step.mayMiss() > 0 && unavailableOthers >= step.mayMiss()
        ? Optional.of(
            "a stop order ends " + task + " while " + unavailableOthers + " others are unavailable")
        : Optional.empty();
  }

  private static boolean sameStep(TaskKey first, TaskKey second) {
    return first.job().equals(second.job())
        && first.occurrence() == second.occurrence()
        && first.step() == second.step();
  }
}
