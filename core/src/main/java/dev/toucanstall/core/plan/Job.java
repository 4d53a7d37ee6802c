package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.JobPhase;
import dev.toucanstall.core.job.JobRecord;
import dev.toucanstall.core.job.JobSpec;
import dev.toucanstall.core.job.StepSpec;
import dev.toucanstall.core.job.TaskKey;
import dev.toucanstall.core.job.TaskPhase;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** One job and its tasks. Owned by the control thread. */
final class Job {

  final Plan plan;
  final String id;
  final String queue;
  final String account;
  final long submittedMs;
  final JobSpec spec;
  final boolean lasting;
  String service;
  JobPhase phase = JobPhase.PENDING;
  long endedMs;
  int bound;

  /** Whether its submission was taken back before any append carried it. */
  boolean withdrawn;

  /** Calls that handed it in during this term and may wait for their answer. */
  final List<Long> submissions = new ArrayList<>();

  /** Whether its client account has sent more than its share. */
  boolean beyondShare;

  /** Objective as Unix milliseconds; work past it is worth little. */
  long objectiveMs;

  /** Rises with each job that becomes known. */
  long number;

  /** Whether it is among the open jobs of its service. */
  boolean listed;

  /** Whether some task could start if there were room, but for the time that it is due. */
  boolean ready;

  private int tasksLeft;

  /** By occurrence and step. */
  private final List<List<StepCounts>> counts;

  /** Occurrences by number, steps by number, tasks by index. */
  final List<List<List<Task>>> occurrences;

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
        IntStream.range(0, Math.max(1, spec.occurrences())).mapToObj(k -> stepCounts()).toList();
    this.occurrences =
        IntStream.range(0, Math.max(1, spec.occurrences())).mapToObj(this::occurrence).toList();
    this.tasksLeft = spec.steps().stream().mapToInt(StepSpec::count).sum() * occurrences.size();
    this.ready = findReady();
  }

  private List<StepCounts> stepCounts() {
    return spec.steps().stream().map(step -> new StepCounts(step.count())).toList();
  }

  private List<List<Task>> occurrence(int number) {
    List<List<Task>> steps = new ArrayList<>();
    for (int s = 0; s < spec.steps().size(); s++) {
      StepSpec step = spec.steps().get(s);
      List<Task> tasks = new ArrayList<>(step.count());
      for (int i = 0; i < step.count(); i++) {
        tasks.add(new Task(this, new TaskKey(id, number, s, i), step, counts.get(number).get(s)));
      }
      steps.add(tasks);
    }
    return steps;
  }

  Stream<Task> tasks() {
    return occurrences.stream().flatMap(List::stream).flatMap(List::stream);
  }

  /** Returns a task, or nothing if the job has no such task. */
  Optional<Task> find(TaskKey key) {
    return at(occurrences, key.occurrence())
        .flatMap(steps -> at(steps, key.step()))
        .flatMap(tasks -> at(tasks, key.index()));
  }

  private static <T> Optional<T> at(List<T> list, int index) {
    return index >= 0 && index < list.size() ? Optional.of(list.get(index)) : Optional.empty();
  }

  /** Some task has been ordered. */
  void begun() {
    if (phase == JobPhase.PENDING) {
      phase = JobPhase.RUNNING;
    }
  }

  /** Returns how far the tasks of a step are. */
  StepCounts counts(int occurrence, int step) {
    return counts.get(occurrence).get(step);
  }

  /** Tells whether all tasks are done. */
  boolean done() {
    return tasksLeft == 0;
  }

  /** A task has gone over to another phase. */
  void turned(TaskPhase from, TaskPhase to) {
    tasksLeft += (from == TaskPhase.DONE ? 1 : 0) - (to == TaskPhase.DONE ? 1 : 0);
    boolean concerns =
        from == TaskPhase.WAITING
            || to == TaskPhase.WAITING
            || from == TaskPhase.DONE
            || to == TaskPhase.DONE;
    if (concerns) {
      ready = findReady();
      plan.noteReady(this);
    }
  }

  private boolean findReady() {
    for (List<StepCounts> steps : counts) {
      for (int s = 0; s < steps.size(); s++) {
        if (steps.get(s).waiting() > 0 && follows(steps, s)) {
          return true;
        }
      }
    }
    return false;
  }

  private boolean follows(List<StepCounts> steps, int step) {
    for (int before : spec.steps().get(step).after()) {
      if (!steps.get(before).done()) {
        return false;
      }
    }
    return true;
  }

  /** Tells whether a step's turn has come. */
  boolean open(int occurrence, int step, long wallMs) {
    return wallMs >= spec.dueMs(occurrence) && follows(counts.get(occurrence), step);
  }

  JobRecord.Submitted submitted() {
    return new JobRecord.Submitted(id, queue, service, account, submittedMs, spec);
  }

  /** Returns what replaces the earlier records of how far it is. */
  JobRecord record() {
    if (phase.ended() && bound == 0) {
      return new JobRecord.Closed(id, queue, phase, endedMs);
    }
    return new JobRecord.Progress(
        id, phase, endedMs, tasks().filter(Task::begun).map(Task::progress).toList());
  }
}
