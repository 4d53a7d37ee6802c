package dev.toucanstall.core.job;

import java.util.ArrayList;
import java.util.List;

/**
 * The specification of a job, as a client submits it. Immutable.
 *
 * @param text opaque text that is passed to each task at its start
 * @param steps the steps, which {@link StepSpec#after()} refers to by their index
 * @param occurrences number of times that all steps run, at least 1
 * @param startAtMs time at which the first occurrence is due, in Unix milliseconds; 0 means at once
 * @param intervalMs time between the due times of two occurrences, in milliseconds
 */
public record JobSpec(
    String text, List<StepSpec> steps, int occurrences, long startAtMs, long intervalMs) {

  /** Specification of a job that has ended, of which nothing else is known. */
  public static final JobSpec EMPTY = new JobSpec("", List.of(), 1, 0, 0);

  /** Copies the list of steps. */
  public JobSpec {
    steps = List.copyOf(steps);
  }

  /**
   * Returns the time at which an occurrence is due.
   *
   * @param occurrence number of the occurrence, from 0
   * @return the time in Unix milliseconds, 0 for at once
   */
  public long dueMs(int occurrence) {
    return startAtMs + occurrence * intervalMs;
  }

  /**
   * Returns the steps that depend on each step.
   *
   * @return the numbers of the depending steps, by the number of the step that they depend on
   */
  public List<List<Integer>> successors() {
    List<List<Integer>> successors = new ArrayList<>();
    steps.forEach(step -> successors.add(new ArrayList<>()));
    for (int s = 0; s < steps.size(); s++) {
      int successor = s;
      steps.get(s).after().stream().distinct().forEach(p -> successors.get(p).add(successor));
    }
    return successors;
  }

  /**
   * Returns whether the job has a start time.
   *
   * @return false if the first occurrence is due at once
   */
  public boolean hasStartTime() {
    return startAtMs > 0;
  }

  /**
   * Returns whether the job runs until it is cancelled.
   *
   * @return true if the tasks of any step do
   */
  public boolean lasting() {
    return steps.stream().anyMatch(StepSpec::lasting);
  }
}
