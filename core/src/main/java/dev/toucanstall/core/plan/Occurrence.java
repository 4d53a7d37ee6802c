package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.StepSpec;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/** One run of all steps of a job, from the time at which it is due until it is done. */
final class Occurrence {

  /** Number of the occurrence in its job, from 0. */
  final int number;

  final List<StepTasks> steps;

  /** Whether some waiting task belongs to a step whose predecessors are done. */
  private boolean hasReadyTask;

  /** Creates an occurrence whose tasks all wait. */
  Occurrence(Job job, int number) {
    this.number = number;
    List<StepTasks> all = new ArrayList<>(job.spec.steps().size());
    int position = number * job.tasksPerOccurrence;
    for (int s = 0; s < job.spec.steps().size(); s++) {
      all.add(new StepTasks(job, number, s, position));
      position += job.spec.steps().get(s).count();
    }
    this.steps = List.copyOf(all);
    updateReady();
  }

  /** Returns the tasks that have an object, in the order of their positions. */
  Stream<Task> present() {
    return steps.stream().flatMap(StepTasks::present);
  }

  /** Returns a step, or empty if the number is out of range. */
  Optional<StepTasks> findStep(int step) {
    return step >= 0 && step < steps.size() ? Optional.of(steps.get(step)) : Optional.empty();
  }

  boolean hasReadyTask() {
    return hasReadyTask;
  }

  /** Returns whether all tasks are done. */
  boolean allDone() {
    return steps.stream().allMatch(s -> s.counts.done());
  }

  /** Computes anew whether some waiting task belongs to a step whose predecessors are done. */
  void updateReady() {
    hasReadyTask = false;
    for (int s = 0; s < steps.size() && !hasReadyTask; s++) {
      hasReadyTask = steps.get(s).counts.waiting() > 0 && predecessorsDone(s);
    }
  }

  /** Returns whether all steps are done that a step depends on. */
  boolean predecessorsDone(int step) {
    StepSpec spec = steps.get(step).spec;
    for (int predecessor : spec.after()) {
      if (!steps.get(predecessor).counts.done()) {
        return false;
      }
    }
    return true;
  }
}
