package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.Resources;
import dev.toucanstall.core.job.StepSpec;

/**
 * Conditions under which a task may start on a backend server. They hold when the task is placed,
 * and again whenever its start is sent: meanwhile the backend server may be back as another kind,
 * or the configuration may have changed.
 */
final class StartConditions {

  private StartConditions() {}

  /**
   * Returns whether the start of a task that is bound to a backend server may be sent now.
   *
   * @return true if all conditions hold
   */
  static boolean maySend(Plan plan, Task task, Server server, Now now) {
    return plan.mayIssueOrders(now)
        && plan.queue(task.job) != null
        && isWithinQuota(plan, task)
        && canTake(task, server, now)
        && isSuitable(task, server);
  }

  /**
   * Returns whether the client account of a task is within its quota with the task, which is
   * counted once also if it is bound.
   */
  static boolean isWithinQuota(Plan plan, Task task) {
    Resources need = task.server == null ? task.step.need() : Resources.NONE;
    return isWithinQuota(plan, task.job, need);
  }

  /** Returns whether the client account of a job is within its quota with a further need. */
  static boolean isWithinQuota(Plan plan, Job job, Resources need) {
    return plan.quotas.used(job.account).plus(need).isWithin(plan.quota(job.account));
  }

  /**
   * Returns whether a backend server takes tasks, belongs to the service that runs the task, and
   * has the capacity for it.
   */
  static boolean canTake(Task task, Server server, Now now) {
    Resources further = task.server == server ? Resources.NONE : task.step.reserved();
    return server.takesTasks(now.steadyMs())
        && server.entry.service().equals(task.job.service)
        && further.fitsInto(server.freeCapacity());
  }

  /**
   * Returns whether a task may run on a backend server by its label and by the step's limit of
   * tasks on each.
   */
  static boolean isSuitable(Task task, Server server) {
    StepSpec step = task.step;
    if (!step.label().isEmpty() && !server.entry.labels().contains(step.label())) {
      return false;
    }
    int others = task.siblings.counts.boundTo(server) - (task.server == server ? 1 : 0);
    return step.perServer() == 0 || others < step.perServer();
  }
}
