package dev.toucanstall.core.plan;

import java.util.Collection;

/**
 * Decides which backend servers get no tasks for a while, because runs fail there through their
 * fault.
 */
final class FailureRules {

  /** Divisor for the largest share of a service's backend servers that is suspended at a time. */
  private static final int SUSPENDED_SHARE_DIVISOR = 2;

  private FailureRules() {}

  /**
   * Takes note of a run that has failed without having served. Suspends its backend server if it
   * seems to be at fault, and resumes those that were suspended for the step if that seems to be.
   */
  static void runFailed(Plan plan, Server server, Task task, Now now) {
    server.failures.add(task);
    StepTasks step = task.siblings;
    if (step.outcomes.failed(server.entry.id()) && step.outcomes.failsEverywhere()) {
      resumeServers(plan, step, now);
    }
    if (server.failures.weight(step) > 0) {
      suspendIfAtFault(plan, server, now);
    }
  }

  /**
   * Takes note of a run that has succeeded: its backend server is sound, and the failures of other
   * runs of its step are not the step's fault.
   */
  static void runSucceeded(Plan plan, Server server, Task task, Now now) {
    if (server.failures.isSuspended(now.steadyMs())) {
      plan.markForPlacement(server);
    }
    server.failures.clear();
    StepTasks step = task.siblings;
    if (step.outcomes.succeeded()) {
      step.outcomes.failedOn().stream()
          .map(plan.servers::get)
          .filter(s -> s != null && s != server)
          .forEach(s -> suspendIfAtFault(plan, s, now));
    }
  }

  /**
   * Resumes the backend servers that were suspended for the failures of a step that fails
   * everywhere.
   */
  private static void resumeServers(Plan plan, StepTasks step, Now now) {
    step.outcomes.failedOn().stream()
        .map(plan.servers::get)
        .filter(s -> s != null && s.failures.isSuspended(now.steadyMs()) && !s.failures.isAtFault())
        .forEach(
            s -> {
              s.failures.resume();
              plan.markForPlacement(s);
              ServerRules.logServerEvent(
                  plan, "server-resumed", s, "runs of " + step.job.id + " fail elsewhere, too");
            });
  }

  private static void suspendIfAtFault(Plan plan, Server server, Now now) {
    if (server.failures.isSuspended(now.steadyMs())
        || !server.failures.isAtFault()
        || !maySuspendAnother(plan, server, now)) {
      return;
    }
    long lengthMs = server.failures.suspend(now.steadyMs());
    ServerRules.logServerEvent(plan, "server-suspended", server, "ms " + lengthMs);
  }

  /**
   * Returns whether a further backend server of a service may be suspended. If most of them fail,
   * their failures say little, and healthy tasks would wait for none.
   */
  private static boolean maySuspendAnother(Plan plan, Server server, Now now) {
    Collection<Server> all = plan.servers.ofService(server.entry.service());
    long responsive = all.stream().filter(s -> s.answered && s.unresponsiveSinceMs == 0).count();
    long suspended = all.stream().filter(s -> s.failures.isSuspended(now.steadyMs())).count();
    return suspended + 1 <= responsive / SUSPENDED_SHARE_DIVISOR;
  }
}
