package dev.toucanstall.core.plan;

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
    long jobBytes) {}
