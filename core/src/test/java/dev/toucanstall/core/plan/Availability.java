package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.FinishedRun;
import dev.toucanstall.core.job.StepSpec;
import dev.toucanstall.core.job.TaskKey;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Checks that no order ends a lasting task while as many others of its step are away as may be, and
 * measures how long lasting tasks are without a run.
 */
final class Availability {

  /** A task that is not at work for this long counts as away for any cause, in milliseconds. */
  private static final long NOTICE_MS = 5_500;

  private record Away(boolean byOrder, long sinceMs) {

    boolean counts(long nowMs) {
      return byOrder || nowMs - sinceMs >= NOTICE_MS;
    }
  }

  private final Map<TaskKey, Away> away = new HashMap<>();

  /** Whether leases lapse without a disruption near, which counts as an order. */
  boolean lapsesCount;

  private long longestMs;

  void started(TaskKey task, long nowMs) {
    Away since = away.remove(task);
    if (since != null) {
      longestMs = Math.max(longestMs, nowMs - since.sinceMs());
    }
  }

  /** Returns the longest time that a lasting task has been without a run, in milliseconds. */
  long longestMs(long nowMs) {
    return away.values().stream().mapToLong(a -> nowMs - a.sinceMs()).reduce(longestMs, Math::max);
  }

  /** Notes the end of a run; returns what promise it breaks, if any. */
  Optional<String> over(TaskKey task, StepSpec step, FinishedRun.Outcome how, long nowMs) {
    long others =
        away.entrySet().stream()
            .filter(e -> sameStep(e.getKey(), task) && e.getValue().counts(nowMs))
            .count();
    boolean stopped = how == FinishedRun.Outcome.STOPPED;
    away.put(task, new Away(stopped || (lapsesCount && how == FinishedRun.Outcome.LAPSED), nowMs));
    return stopped && step.mayMiss() > 0 && others >= step.mayMiss()
        ? Optional.of("an order ends " + task + " while " + others + " others are away")
        : Optional.empty();
  }

  private static boolean sameStep(TaskKey one, TaskKey other) {
    return one.job().equals(other.job())
        && one.occurrence() == other.occurrence()
        && one.step() == other.step();
  }
}
