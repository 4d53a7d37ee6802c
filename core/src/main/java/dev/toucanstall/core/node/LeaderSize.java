package dev.toucanstall.core.node;

/**
 * Processor capacity of a planner, which it stores beside its name. Immutable.
 *
 * @param epoch number of the planner's term
 * @param cores processor capacity, in cores; 0 if unknown
 */
public record LeaderSize(long epoch, double cores) {}
