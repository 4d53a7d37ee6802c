package dev.toucanstall.core.plan;

/**
 * Time of an event on two clocks. Immutable.
 *
 * @param steadyMs milliseconds of the monotonic clock, which never jumps and may stand still while
 *     the machine is suspended
 * @param wallMs Unix milliseconds, which may jump
 */
public record Now(long steadyMs, long wallMs) {}
