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
  private static final double FULL_WEIGHT = 1;

  /** Weight of a failure that may be due to the instance or to the request. */
  private static final double HALF_WEIGHT = 0.5;

  /** Number of failed attempts from which on the request is taken to be at fault. */
  private static final int FAILURES_OF_FAULTY_REQUEST = 2;

  private HealthRules() {}

  /** Records a start on an instance. The first start after a suspension is a probe. */
  static State recordStart(State state, InstanceId id) {
    Health health = state.healthOf(id);
    return health.isProbeDue() ? withHealth(state, id, health.afterProbeStart()) : state;
  }

  /**
   * Records that a request succeeded on an instance. Its earlier failures count in full against the
   * instances on which they happened.
   */
  static Transition recordSuccess(State state, Request request, InstanceId id, long now) {
    Transition transition = Transition.of(withHealth(state, id, state.healthOf(id).afterSuccess()));
    for (InstanceId failed : request.failedOn()) {
      transition = transition.then(s -> recordFailure(s, failed, FULL_WEIGHT, now));
    }
    return transition;
  }

  /** Records that an attempt failed for a reason that lies with the instance. */
  static Transition recordInstanceFailure(State state, InstanceId id, long now) {
    return recordFailure(state, id, FULL_WEIGHT, now);
  }

  /** Records an end of an attempt that allows no conclusion about the instance. */
  static State recordInconclusiveEnd(State state, InstanceId id) {
    return withHealth(state, id, state.healthOf(id).afterInconclusiveEnd());
  }

  /**
   * Records that a request ended with an error answer and is not retried. The failure counts half,
   * as either the instance or the request may be at fault. It does not count if the request has
   * failed at least twice.
   */
  static Transition recordFinalError(State state, Request request, InstanceId last, long now) {
    if (request.failedOn().size() >= FAILURES_OF_FAULTY_REQUEST) {
      return Transition.of(recordInconclusiveEnd(state, last));
    }
    return recordFailure(state, last, HALF_WEIGHT, now);
  }

  /**
   * Counts a failure against an instance and records a decision if that suspends the instance.
   *
   * @param weight weight of the failure, from 0 to 1
   */
  private static Transition recordFailure(State state, InstanceId id, double weight, long now) {
    Health before = state.healthOf(id);
    Health after = before.afterFailure(weight, now);
    State next = withHealth(state, id, after);
    if (after.suspensions() == before.suspensions()) {
      return Transition.of(next);
    }
    return DecisionRecorder.record(
        next,
        now,
        "instance/" + id,
        "health",
        "suspended for %d ms after failures in a row, suspension %d"
            .formatted((after.suspendedUntil() - now) / 1_000_000, after.suspensions()));
  }

  /** Returns the state with the health of an instance; good health is not stored. */
  private static State withHealth(State state, InstanceId id, Health health) {
    if (health.equals(state.healthOf(id))) {
      return state;
    }
    return state.withHealth(
        health.equals(Health.GOOD) ? state.health().minus(id) : state.health().plus(id, health));
  }
}
