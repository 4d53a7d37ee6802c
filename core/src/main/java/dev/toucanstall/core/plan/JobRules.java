package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.Catalog;
import dev.toucanstall.core.job.JobPhase;
import dev.toucanstall.core.job.JobRecord;
import dev.toucanstall.core.job.Queue;
import dev.toucanstall.core.job.StepSpec;
import dev.toucanstall.core.job.TaskPhase;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntToLongFunction;

/** Decides how far jobs are. */
final class JobRules {

  /** How long an ended job can be asked for, in milliseconds. */
  static final long KEEP_MS = 300_000;

  /** Time between looks at all jobs, in milliseconds. */
  private static final long SWEEP_MS = 1_000;

  /** Objective of a job whose queue is unknown, in milliseconds. */
  private static final long UNKNOWN_OBJECTIVE_MS = 5_000;

  private JobRules() {}

  static void add(Plan plan, Job job) {
    plan.add(job);
    job.objectiveMs = objective(plan, job);
    plan.open(job);
  }

  private static long objective(Plan plan, Job job) {
    Queue queue = plan.queue(job);
    long due = Math.max(job.submittedMs, job.spec.startAtMs());
    if (queue == null) {
      return due + UNKNOWN_OBJECTIVE_MS;
    }
    return due + queue.objectiveBaseMs() + (long) (queue.slackFactor() * chainMs(plan, job));
  }

  /** Returns the longest chain of work of a job by what has been learned, in milliseconds. */
  static long chainMs(Plan plan, Job job) {
    return longest(job, s -> plan.durations.expectedMs(job.queue, job.spec.steps().get(s)));
  }

  /** Returns the same without the work that is done, for the first occurrence. */
  static long chainLeftMs(Plan plan, Job job, Now now) {
    return longest(job, s -> leftMs(plan, job, s, now));
  }

  /** Returns the work of a job's short tasks, in milliseconds of what they need. */
  static ResourceAmount work(Plan plan, Job job) {
    return job.spec.steps().stream()
        .filter(step -> !step.lasting())
        .map(step -> work(plan, job, step))
        .reduce(ResourceAmount.NONE, ResourceAmount::plus);
  }

  private static ResourceAmount work(Plan plan, Job job, StepSpec step) {
    double length = plan.durations.expectedMs(job.queue, step);
    return ResourceAmount.of(step.reserved()).times(step.count() * length);
  }

  private static long leftMs(Plan plan, Job job, int step, Now now) {
    StepCounts counts = job.counts(0, step);
    if (counts.done()) {
      return 0;
    }
    long expected = plan.durations.expectedMs(job.queue, job.spec.steps().get(step));
    if (counts.lacks()) {
      return expected;
    }
    long left = 0;
    for (Task task : job.occurrences.getFirst().get(step)) {
      if (task.phase.bound()) {
        left = Math.max(left, expected - (now.steadyMs() - task.orderedMs));
      }
    }
    return left;
  }

  private static long longest(Job job, IntToLongFunction length) {
    List<StepSpec> steps = job.spec.steps();
    long[] ends = new long[steps.size()];
    long longest = 0;
    for (int s = 0; s < ends.length; s++) {
      long start = 0;
      for (int before : steps.get(s).after()) {
        start = Math.max(start, ends[before]);
      }
      ends[s] = start + Math.max(0, length.applyAsLong(s));
      longest = Math.max(longest, ends[s]);
    }
    return longest;
  }

  /** Looks at a job after one of its tasks has ended. */
  static void settle(Plan plan, Job job, Now now) {
    if (!job.phase.ended() && job.done()) {
      end(plan, job, JobPhase.COMPLETED, now);
    }
    settleIfEnded(plan, job);
    plan.dirtyServices.add(job.service);
  }

  /** Closes an ended job once nothing of it is left on backend servers. */
  static void settleIfEnded(Plan plan, Job job) {
    if (job.phase.ended() && job.bound == 0) {
      plan.close(job);
    }
  }

  /** Ends a job; whatever still runs of it is stopped once that is stored. */
  static void end(Plan plan, Job job, JobPhase phase, Now now) {
    job.phase = phase;
    job.endedMs = now.wallMs();
    plan.ledger.changed(job);
    job.tasks().filter(t -> t.phase == TaskPhase.WAITING).forEach(t -> t.turn(TaskPhase.DROPPED));
    List<Task> bound = job.tasks().filter(t -> t.phase.bound()).toList();
    bound.forEach(t -> OrderRules.stopOnceStored(plan, t));
    settleIfEnded(plan, job);
    plan.logEvent("job-ended", "job", job.id, "phase", phase.name());
  }

  static void catalogChanged(Plan plan, Catalog catalog) {
    plan.catalog = catalog;
    plan.openByService.keySet().forEach(plan.dirtyServices::add);
    for (Job job : new ArrayList<>(plan.jobs.values())) {
      Queue queue = plan.queue(job);
      if (queue != null && !queue.service().equals(job.service) && !job.phase.ended()) {
        plan.close(job);
        job.service = queue.service();
        plan.open(job);
      }
    }
  }

  /** Forgets jobs that ended long ago and wakes the queues for what is due by time. */
  static void sweep(Plan plan, Now now) {
    CallRules.refuseUnsent(plan, now);
    if (now.steadyMs() < plan.nextSweepMs) {
      return;
    }
    plan.nextSweepMs = now.steadyMs() + SWEEP_MS;
    plan.openByService.keySet().forEach(plan.dirtyServices::add);
    List<Job> old =
        plan.jobs.values().stream()
            .filter(j -> j.phase.ended() && j.bound == 0)
            .filter(j -> now.wallMs() - j.endedMs > KEEP_MS)
            .toList();
    for (Job job : old) {
      plan.jobs.remove(job.id);
      plan.ledger.other(new JobRecord.Forgotten(job.id));
    }
  }
}
