package dev.toucanstall.core.state;

import dev.toucanstall.core.model.Producer;
import dev.toucanstall.core.record.Member;

/**
 * The entry instance whose state this is, as a member. Immutable. Times are in nanoseconds of the
 * monotonic clock.
 *
 * @param identity name, incarnation, addresses and location of the entry instance
 * @param timing durations in force
 * @param lifecycle current state of the lifecycle
 * @param lifecycleSince time at which that state of the lifecycle began
 * @param startedAt start time of the process
 * @param ready readiness that was last reported to the load balancer
 */
public record LocalMember(
    Member identity,
    Timing timing,
    LifecycleState lifecycle,
    long lifecycleSince,
    long startedAt,
    boolean ready) {

  /**
   * Returns the producer under which this entry instance writes records of its own.
   *
   * @return the producer
   */
  public Producer producer() {
    return new Producer(identity.id().value(), identity.incarnation());
  }

  /**
   * Returns a copy in another state of the lifecycle.
   *
   * @param next the state
   * @param since time at which the state begins
   * @return the new value
   */
  public LocalMember withLifecycle(LifecycleState next, long since) {
    return new LocalMember(identity, timing, next, since, startedAt, ready);
  }

  /**
   * Returns a copy with another readiness.
   *
   * @param next whether the entry instance is ready
   * @return the new value
   */
  public LocalMember withReady(boolean next) {
    return new LocalMember(identity, timing, lifecycle, lifecycleSince, startedAt, next);
  }

  /**
   * Tells whether new requests are accepted.
   *
   * @return false from the state {@link LifecycleState#FINISHING} on
   */
  public boolean acceptsRequests() {
    return lifecycle == LifecycleState.SERVING
        || lifecycle == LifecycleState.LEAVING_BALANCER
        || lifecycle == LifecycleState.JOINING;
  }

  /**
   * Tells whether a stop was requested.
   *
   * @return true from the state {@link LifecycleState#LEAVING_BALANCER} on
   */
  public boolean isStopping() {
    return lifecycle != LifecycleState.JOINING && lifecycle != LifecycleState.SERVING;
  }
}
