package dev.toucanstall.core.reduce;

import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.state.Health;
import dev.toucanstall.core.state.Request;
import dev.toucanstall.core.state.State;

/**
 * Learns from outcomes which instances work. Stateless.
 *
 * <p>A request that failed on one instance and succeeded on another lays its failure to the first.
 * A request that failed on several is itself at fault, and no instance is blamed.
 */
final class HealthRules {

  private static final double FULL_BLAME = 1;
  private static final double HALF_BLAME = 0.5;
  private static final int JOB_AT_FAULT_AFTER = 2;

  private HealthRules() {}

  /** Notes a start; after a suspension it is a probe. */
  static State started(State state, InstanceId id) {
    Health health = state.healthOf(id);
    return health.isProbeDue() ? put(state, id, health.afterProbeStart()) : state;
  }

  /** Notes that a request succeeded, which also judges where it failed before. */
  static Transition succeeded(State state, Request request, InstanceId id, long now) {
    Transition step = Transition.of(put(state, id, state.healthOf(id).afterSuccess()));
    for (InstanceId failed : request.failedOn()) {
      step = step.then(s -> blame(s, failed, FULL_BLAME, now));
    }
    return step;
  }

  /** Notes that an attempt failed for a reason that lies with the instance. */
  static Transition failedByInstance(State state, InstanceId id, long now) {
    return blame(state, id, FULL_BLAME, now);
  }

  /** Notes that an attempt ended in a way that says nothing of the instance. */
  static State unjudged(State state, InstanceId id) {
    return put(state, id, state.healthOf(id).afterInconclusiveEnd());
  }

  /** Notes that a request ended with an error answer and is not tried again. */
  static Transition endedInError(State state, Request request, InstanceId last, long now) {
    if (request.failedOn().size() >= JOB_AT_FAULT_AFTER) {
      return Transition.of(unjudged(state, last));
    }
    return blame(state, last, HALF_BLAME, now);
  }

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

  private static State put(State state, InstanceId id, Health health) {
    if (health.equals(state.healthOf(id))) {
      return state;
    }
    return state.withHealth(
        health.equals(Health.GOOD) ? state.health().minus(id) : state.health().plus(id, health));
  }
}
