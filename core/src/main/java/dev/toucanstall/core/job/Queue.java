package dev.toucanstall.core.job;

/**
 * A queue that clients submit jobs to. A job should complete within its objective: {@code
 * objectiveBaseMs} plus {@code slackFactor} times the expected duration of its critical path.
 * Immutable.
 *
 * @param name the queue's name
 * @param host host name that clients use for the queue
 * @param prefix prefix of the queue's paths, ends with a slash
 * @param service name of the service, and of its pool of backend servers, that runs the tasks
 * @param priority priority of the queue's jobs; 0 is the highest
 * @param maxFailures number of failed runs of one task at which the job fails
 * @param slackFactor factor of the critical path in the objective
 * @param objectiveBaseMs constant part of the objective, in milliseconds
 * @param allowsAnonymous whether clients without a valid API key may use the queue
 * @param needsAdvice whether a service must be queried for the backend servers that may run a step
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
