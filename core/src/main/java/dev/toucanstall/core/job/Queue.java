package dev.toucanstall.core.job;

/**
 * Where jobs are handed in. Immutable.
 *
 * @param name its name
 * @param host the host name that clients use
 * @param prefix the path's beginning, ends with a slash
 * @param service the pool of backend servers that runs the tasks
 * @param priority 0 is the most urgent
 * @param maxFailures how often a task may fail
 * @param slackFactor objective as a multiple of the longest chain of work
 * @param objectiveBaseMs milliseconds added to the objective
 * @param allowsAnonymous whether no key is needed
 * @param needsAdvice whether a service must be asked which backend servers may run a step
 */
public record Queue(
    String name,
    String host,
    String prefix,
    String service,
    int priority,
    int maxFailures,
    double slackFactor,
    long objectiveBaseMs,
    boolean allowsAnonymous,
    boolean needsAdvice) {}
