package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.StepSpec;
import dev.toucanstall.core.job.TaskKey;
import dev.toucanstall.core.job.TaskPhase;
import java.util.BitSet;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * The tasks of one step of an occurrence. A task has an object from the first attempt to place it
 * until it is done; before, it is part of a count, and afterwards a bit. Owned by the control
 * thread.
 */
final class StepTasks {

  final Job job;

  final StepSpec spec;

  final StepCounts counts;

  final Occurrence occurrence;

  /** Newest checkpoint that a member of the gang has saved, empty if there is none. */
  String gangCheckpoint = "";

  final StepOutcomes outcomes = new StepOutcomes();

  /** Number of the step in its job, from 0. */
  final int number;

  /** Number of startable tasks that the job's backlog has counted. */
  int countedStartable;

  /** Number of bound tasks that the job's backlog has counted. */
  int countedBound;

  /** Number of steps of the occurrence before this one that are not done. */
  private int unfinishedPredecessors;

  /** Position in the job of the step's first task. */
  private final int firstPosition;

  /** Tasks that have an object, by index. */
  private final NavigableMap<Integer, Task> present = new TreeMap<>();

  /** Indexes of the tasks that have an object and wait. */
  private final BitSet waiting = new BitSet(0);

  /** Indexes of the tasks that are done and have no object any more. */
  private final BitSet done = new BitSet(0);

  /** Index of the first of the tasks that have no object yet; all that follow have none either. */
  private int nextIndex;

  StepTasks(Job job, Occurrence occurrence, int number, int firstPosition) {
    this.job = job;
    this.occurrence = occurrence;
    this.number = number;
    this.firstPosition = firstPosition;
    this.spec = job.spec.steps().get(number);
    this.counts = new StepCounts(spec.count());
  }

  int size() {
    return spec.count();
  }

  /** Returns the tasks that have an object, in the order of their indexes, to be read only. */
  Stream<Task> present() {
    return present.values().stream();
  }

  /** Returns the number of tasks that have no object yet; they wait. */
  int absentWaiting() {
    return size() - nextIndex;
  }

  /** Returns a task that has an object, or empty. */
  Optional<Task> find(int index) {
    return Optional.ofNullable(present.get(index));
  }

  /** Returns all tasks that are not done, and creates the objects that are missing. */
  List<Task> all() {
    while (nextIndex < size()) {
      createNext();
    }
    return List.copyOf(present.values());
  }

  /** Returns the first waiting task, and creates its object if it has none; empty if none waits. */
  Optional<Task> firstWaiting() {
    int index = waiting.nextSetBit(0);
    if (index >= 0) {
      return find(index);
    }
    return nextIndex < size() ? Optional.of(createNext()) : Optional.empty();
  }

  /** Takes note of how many steps before this one are not done. */
  void setUnfinishedPredecessors(int count) {
    unfinishedPredecessors = count;
  }

  /** Takes note that one of the steps before this one is done. */
  void predecessorDone() {
    unfinishedPredecessors--;
  }

  /** Returns the number of waiting tasks that may start once their occurrence is due. */
  int startable() {
    return unfinishedPredecessors == 0 ? counts.waiting() : 0;
  }

  /** Returns a task that is not done, and creates its object if it has none. */
  Task require(int index) {
    while (nextIndex <= index) {
      createNext();
    }
    Task task = present.get(index);
    if (task == null) {
      throw new IllegalArgumentException("task %d of a step is done".formatted(index));
    }
    return task;
  }

  private Task createNext() {
    int index = nextIndex++;
    Task task =
        new Task(
            this,
            ProgressParts.partOf(firstPosition + index),
            new TaskKey(job.id, occurrence.number, number, index));
    present.put(index, task);
    waiting.set(index);
    return task;
  }

  /** Returns whether a task is done and has no object any more. */
  boolean isDone(int index) {
    return done.get(index);
  }

  /**
   * Updates the counters after a task has changed its phase, and drops the object of a done one.
   */
  void phaseChanged(Task task, TaskPhase from, TaskPhase to) {
    counts.phaseChanged(from, to);
    waiting.set(task.key.index(), to == TaskPhase.WAITING);
    if (to == TaskPhase.DONE) {
      present.remove(task.key.index());
      done.set(task.key.index());
    }
  }
}
