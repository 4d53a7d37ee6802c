package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.JobRecord.TaskProgress;
import dev.toucanstall.core.job.StepSpec;
import dev.toucanstall.core.job.TaskKey;
import dev.toucanstall.core.job.TaskPhase;
import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** One task of a job. Owned by the control thread. */
final class Task {

  final Job job;
  final TaskKey key;
  final StepSpec step;
  final StepCounts counts;

  /** How far it is; changed by {@link #turn} only. */
  TaskPhase phase = TaskPhase.WAITING;

  long run;
  int failures;
  String saved = "";
  @Nullable Server server;

  /** Whether a start of this run was sent and not answered, so that it may yet be carried out. */
  boolean unanswered;

  /** Whether a stop of this run was sent in this term. */
  boolean stopSent;

  /** Whether a stop of this run waits for its cause to be stored. */
  boolean stopWaits;

  /** How often the start of this run was sent. */
  int sends;

  /** When the last order for this run was answered; a list asked for later must show the run. */
  long settledMs;

  /** When the run was ordered, steady milliseconds. */
  long orderedMs;

  /** Share of its work, in percent, at which the run was last seen to be. */
  int percent;

  /** The work rate in percent that was last ordered. */
  int pace = 100;

  /** Backend servers on which it failed or stood still. */
  final Set<String> avoid = new HashSet<>();

  Task(Job job, TaskKey key, StepSpec step, StepCounts counts) {
    this.job = job;
    this.key = key;
    this.step = step;
    this.counts = counts;
  }

  /** Goes over to another phase. */
  void turn(TaskPhase next) {
    TaskPhase before = phase;
    if (before != next) {
      phase = next;
      counts.turn(before, next);
      job.turned(before, next);
    }
  }

  void bind(Server to) {
    server = to;
    to.bind(this);
    counts.bind(to);
    job.plan.quotas.add(job.account, step.need());
    job.bound++;
  }

  void unbind() {
    Server from = server;
    if (from == null) {
      return;
    }
    from.unbind(this);
    counts.unbind(from);
    job.plan.quotas.remove(job.account, step.need());
    job.bound--;
    server = null;
    unanswered = false;
    sends = 0;
    stopSent = false;
    stopWaits = false;
    percent = 0;
    pace = 100;
  }

  /** Tells whether this run is still to be started on a backend server. */
  boolean ordered(long number, Server on) {
    return phase == TaskPhase.ORDERED && run == number && server == on;
  }

  /** Tells whether a start was sent and its outcome is not known. */
  boolean startUnderWay() {
    return phase == TaskPhase.ORDERED && sends > 0;
  }

  boolean begun() {
    return run > 0 || phase != TaskPhase.WAITING;
  }

  TaskProgress progress() {
    Server on = server;
    return new TaskProgress(
        key.occurrence(),
        key.step(),
        key.index(),
        phase,
        run,
        on == null ? "" : on.entry.id(),
        on == null ? "" : on.entry.address().toString(),
        on == null ? 0 : on.entry.startTimeMs(),
        failures,
        saved);
  }
}
