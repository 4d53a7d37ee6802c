package dev.toucanstall.core.reduce;

import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.state.Health;
import dev.toucanstall.core.state.Request;
import dev.toucanstall.core.state.State;

/**
 * Infers the health of instances from the outcomes of requests. Stateless.
 *
 * <p>If a request fails on one instance and succeeds on another, the failure counts against the
 * first instance. If a request fails on several instances, the request is taken to be at fault, and
 * the last failure counts against no instance.
 */
final class HealthRules {

  /** Weight of a failure that is certainly due to the instance. */
  private static final double FULL_BLAME = 1;

  /** Weight of a failure that may be due to the instance or to the request. */
  private static final double HALF_BLAME = 0.5;

  /** Number of failed attempts from which on the request is taken to be at fault. */
  private static final int JOB_AT_FAULT_AFTER = 2;

  private HealthRules() {}

  /** Records a start on an instance. The first start after a suspension is a probe. */
  static State started(State state, InstanceId id) {
    Health health = state.healthOf(id);
    return health.isProbeDue() ? put(state, id, health.afterProbeStart()) : state;
  }

  /**
   * Records that a request succeeded on an instance. Its earlier failures count in full against the
   * instances on which they happened.
   */
  static Transition succeeded(State state, Request request, InstanceId id, long now) {
    Transition step = Transition.of(put(state, id, state.healthOf(id).afterSuccess()));
    for (InstanceId failed : request.failedOn()) {
      step = step.then(s -> blame(s, failed, FULL_BLAME, now));
    }
    return step;
  }

  /** Records that an attempt failed for a reason that lies with the instance. */
  static Transition failedByInstance(State state, InstanceId id, long now) {
    return blame(state, id, FULL_BLAME, now);
  }

  /** Records an end of an attempt that allows no conclusion about the instance. */
  static State unjudged(State state, InstanceId id) {
    return put(state, id, state.healthOf(id).afterInconclusiveEnd());
  }

  /**
   * Records that a request ended with an error answer and is not retried. The failure counts half,
   * as either the instance or the request may be at fault. It does not count if the request has
   * failed at least twice.
   */
  static Transition endedInError(State state, Request request, InstanceId last, long now) {
    if (request.failedOn().size() >= JOB_AT_FAULT_AFTER) {
      return Transition.of(unjudged(state, last));
    }
    return blame(state, last, HALF_BLAME, now);
  }

  /**
   * Counts a failure against an instance and records a decision if that suspends the instance.
   *
   * @param weight weight of the failure, from 0 to 1
   */
  private static Transition blame(State state, InstanceId id, double weight, long now) {
    Health before = state.healthOf(id);
    Health after = before.afterFailure(weight, now);
    State next = put(state, id, after);
    if (after.suspensions() == before.suspensions()) {
      return Transition.of(next);
    }
    return Journaling.decide(
        next,
        now,
        "instance/" + id,
        "health",
        "suspended for %d ms after failures in a row, suspension %d"
            .formatted((after.suspendedUntil() - now) / 1_000_000, after.suspensions()));
  }

  /** Returns the state with the health of an instance; good health is not stored. */
  private static State put(State state, InstanceId id, Health health) {
    if (health.equals(state.healthOf(id))) {
      return state;
    }
    return state.withHealth(
        health.equals(Health.GOOD) ? state.health().minus(id) : state.health().plus(id, health));
  }
}
