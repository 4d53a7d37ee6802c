package dev.toucanstall.core.plan;

/**
 * The time of an event. Immutable.
 *
 * @param steadyMs a clock that never jumps and may stand still while the machine is suspended
 * @param wallMs Unix milliseconds, may jump
 */
public record Now(long steadyMs, long wallMs) {}
