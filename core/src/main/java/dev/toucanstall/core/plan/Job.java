package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.JobPhase;
import dev.toucanstall.core.job.JobRecord;
import dev.toucanstall.core.job.JobRecord.TaskProgress;
import dev.toucanstall.core.job.JobSpec;
import dev.toucanstall.core.job.StepSpec;
import dev.toucanstall.core.job.TaskKey;
import dev.toucanstall.core.job.TaskPhase;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** A job with its tasks and their phases. Owned by the control thread. */
final class Job {

  final Plan plan;

  final String id;

  final String queue;

  /** Name of the client account, empty on an open queue. */
  final String account;

  /** Time of the submission, in Unix milliseconds. */
  final long submittedMs;

  final JobSpec spec;

  /** Whether any step lasts until the job is cancelled. */
  final boolean lasting;

  String service;

  JobPhase phase = JobPhase.PENDING;

  /** Time at which the job ended, in Unix milliseconds, 0 if it has not. */
  long endedMs;

  int boundTasks;

  /** Whether the submission was refused before any append carried it. */
  boolean withdrawn;

  /** Tickets of the calls that submitted the job during this term and may wait for their answer. */
  final List<Long> submissionTickets = new ArrayList<>();

  /** Whether the client account had used up its share of submissions at the submission. */
  boolean beyondShare;

  /** Objective for the completion, in Unix milliseconds. */
  long objectiveMs;

  /** Number in the order in which this planner learned of its jobs. */
  long sequence;

  /** Whether the job is among the open jobs of its service. */
  boolean isOpen;

  /** Whether some task waits for capacity only, or for capacity and its start time. */
  boolean hasReadyTask;

  /** Parts in which the progress is stored. */
  final ProgressParts parts = new ProgressParts();

  /** Whether a backend server is known to have begun a task; a start that was ordered may fail. */
  private boolean begun;

  private int remainingTasks;

  /** Counters by occurrence and step. */
  private final List<List<StepCounts>> counts;

  /** Tasks by occurrence, step and index. */
  final List<List<List<Task>>> occurrences;

  /** Creates a job whose tasks all wait. */
  Job(Plan plan, JobRecord.Submitted submitted) {
    this.plan = plan;
    this.id = submitted.job();
    this.queue = submitted.queue();
    this.service = submitted.service();
    this.account = submitted.account();
    this.submittedMs = submitted.submittedMs();
    this.spec = submitted.spec();
    this.lasting = spec.lasting();
    this.counts =
        IntStream.range(0, Math.max(1, spec.occurrences())).mapToObj(k -> newCounters()).toList();
    this.occurrences =
        IntStream.range(0, Math.max(1, spec.occurrences())).mapToObj(this::newOccurrence).toList();
    this.remainingTasks =
        spec.steps().stream().mapToInt(StepSpec::count).sum() * occurrences.size();
    this.hasReadyTask = computeHasReadyTask();
  }

  private List<StepCounts> newCounters() {
    return spec.steps().stream().map(step -> new StepCounts(step.count())).toList();
  }

  private List<List<Task>> newOccurrence(int occurrence) {
    List<List<Task>> steps = new ArrayList<>();
    int position = occurrence * spec.steps().stream().mapToInt(StepSpec::count).sum();
    for (int s = 0; s < spec.steps().size(); s++) {
      StepSpec step = spec.steps().get(s);
      List<Task> tasks = new ArrayList<>(step.count());
      for (int i = 0; i < step.count(); i++) {
        tasks.add(
            new Task(
                this,
                ProgressParts.partOf(position++),
                new TaskKey(id, occurrence, s, i),
                step,
                counts.get(occurrence).get(s)));
      }
      steps.add(tasks);
    }
    return steps;
  }

  Stream<Task> tasks() {
    return occurrences.stream().flatMap(List::stream).flatMap(List::stream);
  }

  /** Returns a task, or empty if the job has no such task. */
  Optional<Task> find(TaskKey key) {
    return elementAt(occurrences, key.occurrence())
        .flatMap(steps -> elementAt(steps, key.step()))
        .flatMap(tasks -> elementAt(tasks, key.index()));
  }

  /** Returns an element of a list, or empty if the index is out of range. */
  private static <T> Optional<T> elementAt(List<T> list, int index) {
    return index >= 0 && index < list.size() ? Optional.of(list.get(index)) : Optional.empty();
  }

  /** Marks a pending job as running because one of its tasks has been ordered. */
  void markRunning() {
    if (phase == JobPhase.PENDING) {
      phase = JobPhase.RUNNING;
    }
  }

  /** Returns whether a backend server is known to have begun a task, now or earlier. */
  boolean hasBegun() {
    if (!begun && phase != JobPhase.PENDING) {
      begun = tasks().anyMatch(task -> task.failures > 0);
    }
    return begun;
  }

  StepCounts counts(int occurrence, int step) {
    return counts.get(occurrence).get(step);
  }

  boolean allDone() {
    return remainingTasks == 0;
  }

  /** Updates the counters after a task has changed its phase. */
  void taskPhaseChanged(TaskPhase from, TaskPhase to) {
    begun |= to == TaskPhase.RUNNING || to == TaskPhase.DONE;
    remainingTasks += (from == TaskPhase.DONE ? 1 : 0) - (to == TaskPhase.DONE ? 1 : 0);
    boolean readinessMayChange =
        from == TaskPhase.WAITING
            || to == TaskPhase.WAITING
            || from == TaskPhase.DONE
            || to == TaskPhase.DONE;
    if (readinessMayChange) {
      hasReadyTask = computeHasReadyTask();
      plan.openJobs.updateReady(this);
    }
  }

  /** Computes whether some waiting task belongs to a step whose predecessors are done. */
  private boolean computeHasReadyTask() {
    for (List<StepCounts> steps : counts) {
      for (int s = 0; s < steps.size(); s++) {
        if (steps.get(s).waiting() > 0 && predecessorsDone(steps, s)) {
          return true;
        }
      }
    }
    return false;
  }

  private boolean predecessorsDone(List<StepCounts> steps, int step) {
    for (int predecessor : spec.steps().get(step).after()) {
      if (!steps.get(predecessor).done()) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns whether the tasks of a step may start: its occurrence is due and all steps before it
   * are done.
   */
  boolean isStepReady(int occurrence, int step, long wallMs) {
    return wallMs >= spec.dueMs(occurrence) && predecessorsDone(counts.get(occurrence), step);
  }

  JobRecord.Submitted submissionRecord() {
    return new JobRecord.Submitted(id, queue, service, account, submittedMs, spec);
  }

  /**
   * Returns the records of the changes to the job's progress since the last call, in the order in
   * which they must be stored: parts before the first part, which an earlier version has stored
   * with all tasks; the end of the job before the deletion of its parts, without which the tasks in
   * them would count as not begun.
   */
  List<JobRecord> takeProgressRecords() {
    if (phase.ended() && boundTasks == 0) {
      JobRecord closed = new JobRecord.Closed(id, queue, phase, endedMs);
      return Stream.concat(
              Stream.of(closed),
              parts.takeStored().stream().filter(p -> p > 0).mapToObj(this::deletedPart))
          .toList();
    }
    Map<Integer, List<TaskProgress>> changed = changedTasks(parts.takeChanged());
    List<JobRecord> records = new ArrayList<>();
    changed.forEach(
        (part, tasks) -> {
          if (part > 0) {
            records.add(new JobRecord.ProgressPart(id, part, tasks));
          }
        });
    records.add(new JobRecord.Progress(id, phase, endedMs, changed.getOrDefault(0, List.of())));
    return records;
  }

  private JobRecord deletedPart(int part) {
    return new JobRecord.ProgressPart(id, part, List.of());
  }

  /** Returns the progress of the tasks of the first part and of the changed parts, by part. */
  private Map<Integer, List<TaskProgress>> changedTasks(BitSet changed) {
    Map<Integer, List<TaskProgress>> byPart = new TreeMap<>();
    int last = Math.max(0, changed.length() - 1);
    tasks()
        .takeWhile(t -> t.part <= last)
        .filter(t -> (t.part == 0 || changed.get(t.part)) && t.hasBegun())
        .forEach(
            t -> byPart.computeIfAbsent(t.part, p -> new ArrayList<>()).add(t.progressRecord()));
    return byPart;
  }
}
