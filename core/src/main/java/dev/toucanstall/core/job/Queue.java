package dev.toucanstall.core.job;

/**
 * Where jobs are handed in. Immutable.
 *
 * @param name its name
 * @param host the host name that clients use
 * @param prefix the path's beginning, ends with a slash
 * @param service the pool of backend servers that runs the tasks
 * @param priority 0 is the most urgent
 * @param attempts how often a task may fail
 * @param slack objective as a multiple of the longest chain of work
 * @param targetMs milliseconds added to the objective
 * @param open whether no key is needed
 * @param advised whether a service must be asked which backend servers may run a step
 */
public record Queue(
    String name,
    String host,
    String prefix,
    String service,
    int priority,
    int attempts,
    double slack,
    long targetMs,
    boolean open,
    boolean advised) {}
