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
      int uncreated = job.uncreatedDue(now.wallMs());
      boolean due = job.isDue(0, now.wallMs());
      boolean hasStartable = uncreated > 0 || (due && job.backlog.hasStartable());
      long drainMs = hasStartable ? drainMs(job) : MAX_DRAIN_MS;
      for (JobBacklog.Step counted : job.backlog.steps()) {
        StepSpec step = job.spec.steps().get(counted.number);
        int startable = due && mayStart(job, step) ? counted.startable() : 0;
        add(job, step, counted.bound(), startable, drainMs);
        if (step.perServer() > 0) {
          int tasks = Math.min(counted.bound() + startable, step.count());
          minServers = Math.max(minServers, Math.ceilDiv(tasks, step.perServer()));
        }
      }
      if (uncreated > 0) {
        for (StepSpec step : job.spec.steps()) {
          boolean first = step.after().isEmpty();
          long startable = first && mayStart(job, step) ? (long) uncreated * step.count() : 0;
          add(job, step, 0, startable, drainMs);
        }
      }
    }

    private void add(Job job, StepSpec step, long bound, long startable, long drainMs) {
      if (step.lasting()) {
        lasting = lasting.plus(ResourceAmount.of(step.reserved()).times(bound + startable));
      } else if (startable > 0) {
        double work = (double) startable * plan.durations.expectedMs(job.queue, step);
        backlog = backlog.plus(ResourceAmount.of(step.reserved()).times(work / (double) drainMs));
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
     * Returns whether more capacity would let a task of a step start: its client account's quota is
     * not used up, and its job is not beyond the account's share.
     */
    private boolean mayStart(Job job, StepSpec step) {
      return !job.beyondShare
          && plan.quotas.used(job.account).plus(step.need()).isWithin(plan.quota(job.account));
    }
  }
}
