package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.Resources;
import dev.toucanstall.core.job.StepSpec;

/**
 * Demand of a service's queues for machines. Immutable.
 *
 * @param lasting resources of lasting tasks, bound to a backend server or waiting for one
 * @param arrivalRate resources that must be in use all the time to keep up with the arrivals
 * @param backlog resources that must be in use for the waiting short tasks to meet their objectives
 * @param minServers least number of backend servers, because a step limits its tasks on each
 */
record Demand(
    ResourceAmount lasting, ResourceAmount arrivalRate, ResourceAmount backlog, int minServers) {

  /** Shortest time in which a backlog is planned to be worked off, in milliseconds. */
  private static final long MIN_DRAIN_MS = 700;

  /**
   * Longest time in which a backlog is planned to be worked off, in milliseconds; also the time for
   * work that can no longer meet its objective.
   */
  private static final long MAX_DRAIN_MS = 4_000;

  /** Usable share of a machine: tasks of uneven sizes leave the rest empty. */
  private static final double USABLE_SHARE = 0.9;

  /** Returns how many machines of a size meet the demand. */
  int machinesNeeded(Resources size) {
    ResourceAmount total = lasting.plus(arrivalRate).plus(backlog);
    return Math.max(minServers, (int) Math.ceil(total.machineCount(size) / USABLE_SHARE));
  }

  /** Computes the demand of a service from its open jobs and the recent arrivals. */
  static Demand of(Plan plan, String service, Now now) {
    Accumulator total = new Accumulator(plan, now);
    plan.openJobs.ofService(service).stream().filter(job -> !job.phase.ended()).forEach(total::add);
    ResourceAmount arrivalRate = plan.arrivals.rate(service, now.steadyMs());
    return new Demand(total.lasting, arrivalRate, total.backlog, total.minServers);
  }

  /** Adds up the demand of jobs. */
  private static final class Accumulator {

    final Plan plan;

    final Now now;

    ResourceAmount lasting = ResourceAmount.NONE;

    ResourceAmount backlog = ResourceAmount.NONE;

    int minServers;

    Accumulator(Plan plan, Now now) {
      this.plan = plan;
      this.now = now;
    }

    void add(Job job) {
      for (Occurrence occurrence : job.occurrences()) {
        for (int s = 0; s < occurrence.steps.size(); s++) {
          StepTasks step = occurrence.steps.get(s);
          long startable = countStartable(job, occurrence, s);
          add(job, step.spec, step.counts.bound(), startable);
          if (step.spec.perServer() > 0) {
            long tasks = step.counts.bound() + startable;
            minServers = Math.max(minServers, (int) ceilDiv(tasks, step.spec.perServer()));
          }
        }
      }
      int uncreated = job.uncreatedDue(now.wallMs());
      if (uncreated > 0) {
        for (StepSpec step : job.spec.steps()) {
          boolean first = step.after().isEmpty();
          add(job, step, 0, first && mayStart(job, step) ? (long) uncreated * step.count() : 0);
        }
      }
    }

    private void add(Job job, StepSpec step, long bound, long startable) {
      if (step.lasting()) {
        lasting = lasting.plus(ResourceAmount.of(step.reserved()).times(bound + startable));
      } else if (startable > 0) {
        double work = (double) startable * plan.durations.expectedMs(job.queue, step);
        backlog =
            backlog.plus(ResourceAmount.of(step.reserved()).times(work / (double) drainMs(job)));
      }
    }

    /**
     * Returns the time left for a job's waiting tasks, in milliseconds, if the job is to meet its
     * objective and its remaining steps follow without delay; at least {@link #MIN_DRAIN_MS}. A job
     * that can no longer meet its objective gets the maximum, {@link #MAX_DRAIN_MS}.
     */
    private long drainMs(Job job) {
      long slackMs =
          job.objectiveMs - now.wallMs() - JobRules.remainingCriticalPathMs(plan, job, now);
      return slackMs < 0 ? MAX_DRAIN_MS : Math.clamp(slackMs, MIN_DRAIN_MS, MAX_DRAIN_MS);
    }

    /**
     * Counts the tasks that more capacity would let start. A task does not count if its step is not
     * ready, its client account's quota is used up or its job is beyond the account's share.
     */
    private long countStartable(Job job, Occurrence occurrence, int number) {
      StepTasks step = occurrence.steps.get(number);
      boolean startable =
          job.isStepReady(occurrence, number, now.wallMs()) && mayStart(job, step.spec);
      return startable ? step.counts.waiting() : 0;
    }

    /** Returns whether a task of a step is within its account's quota and share. */
    private boolean mayStart(Job job, StepSpec step) {
      return !job.beyondShare
          && plan.quotas.used(job.account).plus(step.need()).isWithin(plan.quota(job.account));
    }

    private static long ceilDiv(long dividend, long divisor) {
      return (dividend + divisor - 1) / divisor;
    }
  }
}
