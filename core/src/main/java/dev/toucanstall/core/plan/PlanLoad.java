package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.TaskPhase;

/**
 * Counts of what a planner manages. Immutable.
 *
 * @param passes placement passes in the planner's term
 * @param openJobs jobs that have not ended or still have bound tasks
 * @param servers known backend servers
 * @param serversInUse backend servers with bound tasks
 * @param waiting waiting tasks of open jobs that are due
 * @param ordered tasks whose start is not confirmed
 * @param running tasks that run
 * @param stopping tasks that are being stopped
 * @param jobBytes upper bound for the memory of all jobs, in bytes
 */
public record PlanLoad(
    long passes,
    int openJobs,
    int servers,
    int serversInUse,
    int waiting,
    int ordered,
    int running,
    int stopping,
    long jobBytes) {

  /** Counts what a planner manages; visits each open job and each bound task. */
  static PlanLoad of(Plan plan) {
    int[] bound = new int[TaskPhase.values().length];
    plan.servers.values().stream()
        .flatMap(server -> server.tasks.stream())
        .forEach(task -> bound[task.phase.ordinal()]++);
    return new PlanLoad(
        plan.passes,
        plan.openJobs(),
        plan.servers.size(),
        (int) plan.servers.values().stream().filter(server -> !server.tasks.isEmpty()).count(),
        plan.openJobs.all().mapToInt(Job::waitingTasks).sum(),
        bound[TaskPhase.ORDERED.ordinal()],
        bound[TaskPhase.RUNNING.ordinal()],
        bound[TaskPhase.STOPPING.ordinal()],
        plan.jobMemory.usedBytes());
  }
}
