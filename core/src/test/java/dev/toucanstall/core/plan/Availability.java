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
final class Availability {

  /**
   * Time without a run after which a task counts as unavailable whatever ended its run, in
   * milliseconds.
   */
  private static final long NOTICE_MS = 5_500;

  /**
   * Time during which a task has no run.
   *
   * @param byOrder whether an order ended the run, so that the task counts as unavailable at once
   * @param sinceMs end of the run, in milliseconds of the steady clock
   */
  private record Away(boolean byOrder, long sinceMs) {

    /** Tells whether the task counts as unavailable at a time of the steady clock. */
    boolean counts(long nowMs) {
      return byOrder || nowMs - sinceMs >= NOTICE_MS;
    }
  }

  /** Lasting tasks that are without a run now. */
  private final Map<TaskKey, Away> away = new HashMap<>();

  /**
   * Whether a lapsed lease counts at once, as a stop order does; set in scenarios without faults of
   * machines or network.
   */
  boolean lapsesCount;

  /** Longest time without a run that has ended, in milliseconds. */
  private long longestMs;

  /** Records the start of a run of a lasting task at a time of the steady clock. */
  void started(TaskKey task, long nowMs) {
    Away since = away.remove(task);
    if (since != null) {
      longestMs = Math.max(longestMs, nowMs - since.sinceMs());
    }
  }

  /**
   * Returns the longest time that a lasting task has been without a run, in milliseconds; includes
   * times that have not ended.
   */
  long longestMs(long nowMs) {
    return away.values().stream().mapToLong(a -> nowMs - a.sinceMs()).reduce(longestMs, Math::max);
  }

  /**
   * Records the end of a run of a lasting task.
   *
   * @param task the task
   * @param step the step of the task, with the limit of unavailable tasks
   * @param how the reason for the end
   * @param nowMs time of the end, in milliseconds of the steady clock
   * @return a description of the violation, empty if the limit is kept
   */
  Optional<String> over(TaskKey task, StepSpec step, FinishedRun.Outcome how, long nowMs) {
    long others =
        away.entrySet().stream()
            .filter(e -> sameStep(e.getKey(), task) && e.getValue().counts(nowMs))
            .count();
    boolean stopped = how == FinishedRun.Outcome.STOPPED;
    away.put(task, new Away(stopped || (lapsesCount && how == FinishedRun.Outcome.LAPSED), nowMs));
    return stopped && step.mayMiss() > 0 && others >= step.mayMiss()
        ? Optional.of("a stop order ends " + task + " while " + others + " others are unavailable")
        : Optional.empty();
  }

  /** Tells whether two tasks belong to the same step of the same occurrence of a job. */
  private static boolean sameStep(TaskKey one, TaskKey other) {
    return one.job().equals(other.job())
        && one.occurrence() == other.occurrence()
        && one.step() == other.step();
  }
}
