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
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/** A job with its tasks and their phases. Owned by the control thread. */
final class Job {

  /**
   * Most occurrences with ready tasks that are created at a time. Those that are due and not
   * created yet follow in later passes.
   */
  static final int MAX_READY_OCCURRENCES = 64;

  final Plan plan;

  final String id;

  final String queue;

  /** Name of the client account, empty on an open queue. */
  final String account;

  /** Time of the submission, in Unix milliseconds. */
  final long submittedMs;

  /** Specification; empty once the end of the job is to be stored. */
  JobSpec spec;

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

  /** Number of waiting tasks of current occurrences. */
  private int waitingTasks;

  /** Tasks of current occurrences that can be placed or are bound, by step. */
  final JobBacklog backlog = new JobBacklog(this);

  /** Numbers of the steps that depend on a step, by its number; null until first asked for. */
  private @Nullable List<List<Integer>> successors;

  /** Number of tasks of each occurrence. */
  final int tasksPerOccurrence;

  /** Occurrences that were due and are not done, by number. */
  private final NavigableMap<Integer, Occurrence> current = new TreeMap<>();

  /** Numbers of the occurrences that are done. */
  private final BitSet done = new BitSet(0);

  /** Number of the first of the occurrences that were not due yet; all that follow were not. */
  private int nextOccurrence;

  /** Time under which {@link OpenJobs} has scheduled the job, in Unix milliseconds. */
  long scheduledMs;

  /** Number of current occurrences with ready tasks. */
  private int readyOccurrences;

  /** Creates a job whose tasks all wait. Only its first occurrence has an object. */
  Job(Plan plan, JobRecord.Submitted submitted) {
    this.plan = plan;
    this.id = submitted.job();
    this.queue = submitted.queue();
    this.service = submitted.service();
    this.account = submitted.account();
    this.submittedMs = submitted.submittedMs();
    this.spec = submitted.spec();
    this.lasting = spec.lasting();
    this.tasksPerOccurrence = spec.steps().stream().mapToInt(StepSpec::count).sum();
    this.remainingTasks = taskCount();
    createNext();
  }

  /** Returns the number of tasks of all occurrences. */
  int taskCount() {
    return tasksPerOccurrence * occurrenceCount();
  }

  private int occurrenceCount() {
    return Math.max(1, spec.occurrences());
  }

  /** Returns the occurrences that were due and are not done, to be read only. */
  Collection<Occurrence> occurrences() {
    return current.values();
  }

  /** Returns a current occurrence, or empty if it is not due yet or done. */
  Optional<Occurrence> findOccurrence(int number) {
    return Optional.ofNullable(current.get(number));
  }

  private Occurrence createNext() {
    Occurrence created = new Occurrence(this, nextOccurrence++);
    current.put(created.number, created);
    waitingTasks += tasksPerOccurrence;
    if (created.hasReadyTask()) {
      readyOccurrences++;
    }
    hasReadyTask = readyOccurrences > 0;
    return created;
  }

  /** Returns whether the job has not ended and has occurrences that were not due yet. */
  boolean hasFutureOccurrences() {
    return !phase.ended() && nextOccurrence < occurrenceCount();
  }

  /** Returns the time at which the next of them is due, in Unix milliseconds. */
  long nextDueMs() {
    return spec.dueMs(nextOccurrence);
  }

  /**
   * Creates the occurrences that are due, at most as many as a placement pass needs. The others
   * follow as these are placed.
   *
   * @return whether any was created
   */
  boolean createDue(long wallMs) {
    final int before = nextOccurrence;
    while (hasFutureOccurrences()
        && nextDueMs() <= wallMs
        && readyOccurrences < MAX_READY_OCCURRENCES) {
      createNext();
    }
    return nextOccurrence > before;
  }

  /** Drops the tasks of a job that has ended and has no bound task. */
  void dropTasks() {
    current.clear();
    backlog.clear();
    waitingTasks = 0;
    readyOccurrences = 0;
    hasReadyTask = false;
  }

  /** Returns the number of occurrences that are due and not created yet. */
  int uncreatedDue(long wallMs) {
    if (!hasFutureOccurrences() || nextDueMs() > wallMs) {
      return 0;
    }
    int remaining = occurrenceCount() - nextOccurrence;
    return spec.intervalMs() <= 0
        ? remaining
        : (int) Math.min(remaining, (wallMs - nextDueMs()) / spec.intervalMs() + 1);
  }

  /** Returns the tasks that have an object: those that wait to be placed may have none. */
  Stream<Task> tasks() {
    return current.values().stream().flatMap(Occurrence::present);
  }

  /** Returns the number of waiting tasks of current occurrences. */
  int waitingTasks() {
    return waitingTasks;
  }

  /** Returns the numbers of the steps that depend on a step. */
  List<Integer> successors(int step) {
    List<List<Integer>> all = successors;
    if (all == null) {
      all = spec.successors();
      successors = all;
    }
    return all.get(step);
  }

  /** Returns a task that has an object, or empty. */
  Optional<Task> find(TaskKey key) {
    return findOccurrence(key.occurrence())
        .flatMap(k -> k.findStep(key.step()))
        .flatMap(s -> s.find(key.index()));
  }

  /**
   * Returns a task of which a record was stored, and creates its object and its occurrence if need
   * be; empty if the job has no such task or it is done.
   */
  Optional<Task> restorable(TaskKey key) {
    if (key.occurrence() < 0 || key.occurrence() >= occurrenceCount()) {
      return Optional.empty();
    }
    while (nextOccurrence <= key.occurrence()) {
      createNext();
    }
    return findOccurrence(key.occurrence())
        .flatMap(k -> k.findStep(key.step()))
        .filter(s -> key.index() >= 0 && key.index() < s.size() && !s.isDone(key.index()))
        .map(s -> s.require(key.index()));
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

  boolean allDone() {
    return remainingTasks == 0;
  }

  /** Updates the counters after a task has changed its phase. */
  void taskPhaseChanged(Task task, TaskPhase from, TaskPhase to) {
    begun |= to == TaskPhase.RUNNING || to == TaskPhase.DONE;
    remainingTasks -= to == TaskPhase.DONE ? 1 : 0;
    if (current.get(task.key.occurrence()) == task.siblings.occurrence) {
      waitingTasks += (to == TaskPhase.WAITING ? 1 : 0) - (from == TaskPhase.WAITING ? 1 : 0);
      updateOccurrence(task.siblings, to == TaskPhase.DONE);
    }
    plan.openJobs.updateReady(this);
  }

  /** Updates what is known of a step's occurrence, and drops its object once it is done. */
  private void updateOccurrence(StepTasks changed, boolean finished) {
    Occurrence occurrence = changed.occurrence;
    boolean before = occurrence.hasReadyTask();
    occurrence.phaseChanged(changed, finished);
    readyOccurrences += (occurrence.hasReadyTask() ? 1 : 0) - (before ? 1 : 0);
    hasReadyTask = readyOccurrences > 0;
    if (occurrence.allDone()) {
      current.remove(occurrence.number);
      done.set(occurrence.number);
    }
  }

  /** Returns whether an occurrence is due. */
  boolean isDue(int occurrence, long wallMs) {
    return wallMs >= spec.dueMs(occurrence);
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
      spec = JobSpec.EMPTY;
      plan.jobMemory.ended(this);
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
    changed.set(0);
    changed.stream()
        .forEach(
            part -> {
              List<TaskProgress> begunTasks =
                  ProgressParts.positionsOf(part, taskCount())
                      .mapToObj(this::progressAt)
                      .flatMap(Optional::stream)
                      .toList();
              if (!begunTasks.isEmpty()) {
                byPart.put(part, begunTasks);
              }
            });
    return byPart;
  }

  /** Returns the progress of the task at a position of the job, or empty if it has not begun. */
  private Optional<TaskProgress> progressAt(int position) {
    int occurrence = position / tasksPerOccurrence;
    int step = 0;
    int index = position % tasksPerOccurrence;
    while (index >= spec.steps().get(step).count()) {
      index -= spec.steps().get(step).count();
      step++;
    }
    TaskKey key = new TaskKey(id, occurrence, step, index);
    return isDone(key)
        ? Optional.of(TaskProgress.done(key))
        : find(key).filter(Task::hasBegun).map(Task::progressRecord);
  }

  private boolean isDone(TaskKey key) {
    return done.get(key.occurrence())
        || findOccurrence(key.occurrence())
            .map(k -> k.steps.get(key.step()).isDone(key.index()))
            .orElse(false);
  }
}
