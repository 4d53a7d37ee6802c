package dev.toucanstall.core.job;

import java.util.List;

/**
 * What a client account asks for. Immutable.
 *
 * @param text the text that each task is started with
 * @param steps the steps
 * @param occurrences how often the steps run
 * @param startAtMs when the first occurrence is due, Unix milliseconds, 0 for at once
 * @param intervalMs time between occurrences
 */
public record JobSpec(
    String text, List<StepSpec> steps, int occurrences, long startAtMs, long intervalMs) {

  /** Copies the list. */
  public JobSpec {
    steps = List.copyOf(steps);
  }

  /**
   * Returns when an occurrence is due.
   *
   * @param occurrence its number from 0
   * @return Unix milliseconds, 0 for at once
   */
  public long dueMs(int occurrence) {
    return startAtMs + occurrence * intervalMs;
  }

  /**
   * Tells whether the job waits for a time.
   *
   * @return true if so
   */
  public boolean hasStartTime() {
    return startAtMs > 0;
  }

  /**
   * Tells whether the job runs until it is cancelled.
   *
   * @return true if any step lasts
   */
  public boolean lasting() {
    return steps.stream().anyMatch(StepSpec::lasting);
  }
}
