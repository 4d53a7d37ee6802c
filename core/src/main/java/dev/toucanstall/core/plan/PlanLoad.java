package dev.toucanstall.core.plan;

/**
 * How much a planner has to look after. Immutable.
 *
 * @param passes how many passes it has made in its term
 * @param openJobs jobs that have not ended
 * @param servers backend servers in the list
 * @param serversInUse backend servers with tasks
 * @param waiting tasks of open jobs that wait
 * @param ordered tasks whose start is not confirmed
 * @param running tasks that run
 * @param stopping tasks that are being stopped
 */
public record PlanLoad(
    long passes,
    int openJobs,
    int servers,
    int serversInUse,
    int waiting,
    int ordered,
    int running,
    int stopping) {}
