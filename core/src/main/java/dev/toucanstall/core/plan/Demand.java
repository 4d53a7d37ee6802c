package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.Resources;
import dev.toucanstall.core.job.StepSpec;
import java.util.List;
import java.util.Set;

/**
 * What a service's queues ask of its pool. Immutable.
 *
 * @param lasting what lasting tasks take, at work or waiting for it
 * @param rate what must be at work all the time to keep up with what arrives
 * @param backlog what must be at work for the short work that waits to meet its objectives
 * @param spread how many backend servers the most scattered step needs
 */
record Demand(ResourceAmount lasting, ResourceAmount rate, ResourceAmount backlog, int spread) {

  /** Shortest time in which work that waits is to be done, in milliseconds. */
  private static final long SHORTEST_DRAIN_MS = 700;

  /** The same for work that has missed its objective, and the longest, in milliseconds. */
  private static final long LONGEST_DRAIN_MS = 4_000;

  /** Part of a machine that tasks of uneven sizes fill. */
  private static final double FILLED = 0.9;

  /** Returns how many machines of a size meet the demand. */
  int machines(Resources size) {
    ResourceAmount all = lasting.plus(rate).plus(backlog);
    return Math.max(spread, (int) Math.ceil(all.machines(size) / FILLED));
  }

  static Demand of(Plan plan, String service, Now now) {
    Sum sum = new Sum(plan, now);
    plan.openByService.getOrDefault(service, Set.of()).stream()
        .filter(job -> !job.phase.ended())
        .forEach(sum::add);
    ResourceAmount rate = plan.arrivals.rate(service, now.steadyMs());
    return new Demand(sum.lasting, rate, sum.backlog, sum.spread);
  }

  /** Adds up the demand of jobs. */
  private static final class Sum {

    final Plan plan;
    final Now now;
    ResourceAmount lasting = ResourceAmount.NONE;
    ResourceAmount backlog = ResourceAmount.NONE;
    int spread;

    Sum(Plan plan, Now now) {
      this.plan = plan;
      this.now = now;
    }

    void add(Job job) {
      for (int k = 0; k < job.occurrences.size(); k++) {
        List<List<Task>> steps = job.occurrences.get(k);
        for (int s = 0; s < steps.size(); s++) {
          add(job, k, s, steps.get(s));
        }
      }
    }

    private void add(Job job, int occurrence, int number, List<Task> tasks) {
      StepSpec step = tasks.getFirst().step;
      long bound = job.counts(occurrence, number).bound();
      long waiting = waiting(job, occurrence, number, tasks);
      if (step.perServer() > 0) {
        spread = Math.max(spread, (int) ceilDiv(bound + waiting, step.perServer()));
      }
      if (step.lasting()) {
        lasting = lasting.plus(ResourceAmount.of(step.reserved()).times(bound + waiting));
      } else if (waiting > 0) {
        double work = (double) waiting * plan.durations.expectedMs(job.queue, step);
        backlog =
            backlog.plus(ResourceAmount.of(step.reserved()).times(work / (double) drainMs(job)));
      }
    }

    /** Time in which the work must be done, were all of the rest to follow without a wait. */
    private long drainMs(Job job) {
      long left = job.objectiveMs - now.wallMs() - JobRules.chainLeftMs(plan, job, now);
      return left < 0 ? LONGEST_DRAIN_MS : Math.clamp(left, SHORTEST_DRAIN_MS, LONGEST_DRAIN_MS);
    }

    /** Tasks that more room would help: not those whose account may run no more. */
    private long waiting(Job job, int occurrence, int number, List<Task> tasks) {
      Resources need = tasks.getFirst().step.need();
      boolean allowed = plan.quotas.used(job.account).plus(need).isWithin(plan.quota(job.account));
      if (!allowed || job.beyondShare || !job.open(occurrence, number, now.wallMs())) {
        return 0;
      }
      return job.counts(occurrence, number).waiting();
    }

    private static long ceilDiv(long amount, long by) {
      return (amount + by - 1) / by;
    }
  }
}
