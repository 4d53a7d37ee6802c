package dev.toucanstall.core.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/** One run of all steps of a job, from the time at which it is due until it is done. */
final class Occurrence {

  /** Number of the occurrence in its job, from 0. */
  final int number;

  final List<StepTasks> steps;

  private final Job job;

  /** Number of steps with waiting tasks whose predecessors are done. */
  private int startableSteps;

  private int unfinishedSteps;

  /** Creates an occurrence whose tasks all wait. */
  Occurrence(Job job, int number) {
    this.job = job;
    this.number = number;
    List<StepTasks> all = new ArrayList<>(job.spec.steps().size());
    int position = number * job.tasksPerOccurrence;
    for (int s = 0; s < job.spec.steps().size(); s++) {
      all.add(new StepTasks(job, this, s, position));
      position += job.spec.steps().get(s).count();
    }
    this.steps = List.copyOf(all);
    for (StepTasks step : steps) {
      unfinishedSteps += step.counts.done() ? 0 : 1;
      step.setUnfinishedPredecessors(countUnfinishedPredecessors(step));
      update(step);
    }
  }

  private int countUnfinishedPredecessors(StepTasks step) {
    if (step.spec.after().isEmpty()) {
      return 0;
    }
    return (int)
        step.spec.after().stream().distinct().filter(s -> !steps.get(s).counts.done()).count();
  }

  /** Returns the tasks that have an object, in the order of their positions. */
  Stream<Task> present() {
    return steps.stream().flatMap(StepTasks::present);
  }

  /** Returns a step, or empty if the number is out of range. */
  Optional<StepTasks> findStep(int step) {
    return step >= 0 && step < steps.size() ? Optional.of(steps.get(step)) : Optional.empty();
  }

  /** Returns whether some waiting task belongs to a step whose predecessors are done. */
  boolean hasReadyTask() {
    return startableSteps > 0;
  }

  /** Returns whether all tasks are done. */
  boolean allDone() {
    return unfinishedSteps == 0;
  }

  /**
   * Updates the counters after a task has changed its phase, those of the steps after it if its
   * step is done now.
   *
   * @param changed the tasks of its step
   * @param finished whether the task is done now
   */
  void phaseChanged(StepTasks changed, boolean finished) {
    update(changed);
    if (!finished || !changed.counts.done()) {
      return;
    }
    unfinishedSteps--;
    for (int successor : job.successors(changed.number)) {
      steps.get(successor).predecessorDone();
      update(steps.get(successor));
    }
  }

  private void update(StepTasks step) {
    boolean before = step.countedStartable > 0;
    job.backlog.update(step);
    boolean after = step.countedStartable > 0;
    startableSteps += (after ? 1 : 0) - (before ? 1 : 0);
  }
}
