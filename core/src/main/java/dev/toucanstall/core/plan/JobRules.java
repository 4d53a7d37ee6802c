package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.Catalog;
import dev.toucanstall.core.job.JobAnswer;
import dev.toucanstall.core.job.JobPhase;
import dev.toucanstall.core.job.JobRecord;
import dev.toucanstall.core.job.Queue;
import dev.toucanstall.core.job.RecordSize;
import dev.toucanstall.core.job.StepSpec;
import dev.toucanstall.core.job.TaskPhase;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.IntToLongFunction;

/** Decides on the progress of jobs: their objectives, their ends and when they are forgotten. */
final class JobRules {

  /** Time for which an ended job can still be queried, in milliseconds. */
  static final long RETENTION_MS = 300_000;

  /** Time between two sweeps over all jobs, in milliseconds. */
  private static final long SWEEP_INTERVAL_MS = 1_000;

  /** Objective of a job whose queue is unknown, in milliseconds after it is due. */
  private static final long DEFAULT_OBJECTIVE_MS = 5_000;

  private JobRules() {}

  /** Adds a job to the open jobs and computes its objective. */
  static void add(Plan plan, Job job) {
    plan.add(job);
    job.objectiveMs = objectiveMs(plan, job);
    plan.open(job);
  }

  /**
   * Returns the objective of a job, in Unix milliseconds: its due time, the queue's target and a
   * multiple of the critical path.
   */
  private static long objectiveMs(Plan plan, Job job) {
    Queue queue = plan.queue(job);
    long dueMs = Math.max(job.submittedMs, job.spec.startAtMs());
    if (queue == null) {
      return dueMs + DEFAULT_OBJECTIVE_MS;
    }
    return dueMs
        + queue.objectiveBaseMs()
        + (long) (queue.slackFactor() * criticalPathMs(plan, job));
  }

  /** Returns the expected duration of a job's critical path, in milliseconds. */
  static long criticalPathMs(Plan plan, Job job) {
    return longestPathMs(job, s -> plan.durations.expectedMs(job.queue, job.spec.steps().get(s)));
  }

  /**
   * Returns the expected remaining duration of the critical path of a job's first occurrence, in
   * milliseconds.
   */
  static long remainingCriticalPathMs(Plan plan, Job job, Now now) {
    return longestPathMs(job, s -> remainingMs(plan, job, s, now));
  }

  /**
   * Returns the work of a job's short tasks: the resources that they reserve, multiplied by their
   * expected durations in milliseconds.
   */
  static ResourceAmount work(Plan plan, Job job) {
    return job.spec.steps().stream()
        .filter(step -> !step.lasting())
        .map(step -> work(plan, job, step))
        .reduce(ResourceAmount.NONE, ResourceAmount::plus);
  }

  private static ResourceAmount work(Plan plan, Job job, StepSpec step) {
    double durationMs = plan.durations.expectedMs(job.queue, step);
    return ResourceAmount.of(step.reserved()).times(step.count() * durationMs);
  }

  /** Returns the expected remaining duration of a step of the first occurrence, in milliseconds. */
  private static long remainingMs(Plan plan, Job job, int step, Now now) {
    StepTasks tasks = job.findOccurrence(0).flatMap(first -> first.findStep(step)).orElse(null);
    if (tasks == null || tasks.counts.done()) {
      return 0;
    }
    long expected = plan.durations.expectedMs(job.queue, job.spec.steps().get(step));
    if (tasks.counts.hasUnboundTasks()) {
      return expected;
    }
    long remaining = 0;
    for (Task task : tasks.present().toList()) {
      if (task.phase.bound()) {
        remaining = Math.max(remaining, expected - (now.steadyMs() - task.orderedMs));
      }
    }
    return remaining;
  }

  /**
   * Returns the duration of the longest path through a job's steps, in milliseconds.
   *
   * @param job the job; each step comes after the steps that it depends on
   * @param durationMs returns the duration of a step by its number, negative durations count as 0
   */
  private static long longestPathMs(Job job, IntToLongFunction durationMs) {
    List<StepSpec> steps = job.spec.steps();
    long[] finishMs = new long[steps.size()];
    long longest = 0;
    for (int s = 0; s < finishMs.length; s++) {
      long start = 0;
      for (int predecessor : steps.get(s).after()) {
        start = Math.max(start, finishMs[predecessor]);
      }
      finishMs[s] = start + Math.max(0, durationMs.applyAsLong(s));
      longest = Math.max(longest, finishMs[s]);
    }
    return longest;
  }

  /** Completes a job whose tasks are all done, and has the queue of its service placed again. */
  static void completeIfDone(Plan plan, Job job, Now now) {
    if (!job.phase.ended() && job.allDone()) {
      end(plan, job, JobPhase.COMPLETED, now);
    }
    closeIfEnded(plan, job);
    plan.servicesToPlace.add(job.service);
  }

  /** Closes an ended job once none of its tasks is bound to a backend server. */
  static void closeIfEnded(Plan plan, Job job) {
    if (job.phase.ended() && job.boundTasks == 0) {
      plan.openJobs.remove(job);
      job.dropTasks();
    }
  }

  /** Ends a job. Its remaining runs are stopped once the end is stored. */
  static void end(Plan plan, Job job, JobPhase phase, Now now) {
    job.phase = phase;
    job.endedMs = now.wallMs();
    plan.ledger.changed(job);
    job.tasks()
        .filter(t -> t.phase == TaskPhase.WAITING)
        .toList()
        .forEach(t -> t.setPhase(TaskPhase.DROPPED));
    List<Task> bound = job.tasks().filter(t -> t.phase.bound()).toList();
    bound.forEach(t -> OrderRules.stopOnceStored(plan, t));
    closeIfEnded(plan, job);
    plan.logEvent("job-ended", "job", job.id, "phase", phase.name());
  }

  /**
   * Handles a record that the store does not take, because it is too large. A job of which nothing
   * else is stored is refused; the others end, as their tasks can't be started.
   */
  static void recordUnstorable(Plan plan, JobRecord record, Now now) {
    plan.logEvent(
        "record-too-large",
        "kind",
        record.getClass().getSimpleName(),
        "bytes-at-most",
        Integer.toString(RecordSize.maxBytes(record)));
    switch (record) {
      case JobRecord.Submitted submitted ->
          withJob(
              plan,
              submitted.job(),
              job ->
                  CallRules.refuse(
                      plan,
                      job,
                      new JobAnswer.TooLarge(plan.storeLimits.recordBytes()),
                      "its record is too large"));
      case JobRecord.Progress progress ->
          withJob(plan, progress.job(), job -> endFailed(plan, job, now));
      case JobRecord.ProgressPart part ->
          withJob(plan, part.job(), job -> endFailed(plan, job, now));
      default -> {
        // A later record of the same key replaces it.
      }
    }
  }

  private static void withJob(Plan plan, String id, Consumer<Job> action) {
    Job job = plan.jobs.get(id);
    if (job != null) {
      action.accept(job);
    }
  }

  private static void endFailed(Plan plan, Job job, Now now) {
    if (!job.phase.ended()) {
      end(plan, job, JobPhase.FAILED, now);
    }
  }

  /** Takes over a new configuration. Moves each job whose queue is now run by another service. */
  static void catalogChanged(Plan plan, Catalog catalog) {
    plan.catalog = catalog;
    plan.openJobs.services().forEach(plan.servicesToPlace::add);
    for (Job job : new ArrayList<>(plan.jobs.values())) {
      Queue queue = plan.queue(job);
      if (queue != null && !queue.service().equals(job.service) && !job.phase.ended()) {
        plan.openJobs.remove(job);
        job.service = queue.service();
        plan.open(job);
      }
    }
  }

  /**
   * Forgets jobs that ended long ago, and marks all queues for placement because a step may have
   * become due.
   */
  static void sweep(Plan plan, Now now) {
    CallRules.refuseUnsent(plan, now);
    if (now.steadyMs() < plan.nextSweepMs) {
      return;
    }
    plan.nextSweepMs = now.steadyMs() + SWEEP_INTERVAL_MS;
    plan.openJobs.services().forEach(plan.servicesToPlace::add);
    List<Job> expired =
        plan.jobs.values().stream()
            .filter(j -> j.phase.ended() && j.boundTasks == 0)
            .filter(j -> now.wallMs() - j.endedMs > RETENTION_MS)
            .toList();
    for (Job job : expired) {
      plan.remove(job.id);
      plan.ledger.addRecord(new JobRecord.Forgotten(job.id));
    }
  }
}
