package dev.toucanstall.core.state;

import dev.toucanstall.core.model.Producer;
import dev.toucanstall.core.record.Member;

/**
 * The entry instance whose state this is, as a member. Immutable. Times are in nanoseconds of the
 * monotonic clock.
 *
 * @param member name, incarnation, addresses and location of the entry instance
 * @param timing durations in force
 * @param life current state of the lifecycle
 * @param lifeSince time at which that state began
 * @param startedAt start time of the process
 * @param ready readiness that was last reported to the load balancer
 */
public record Self(
    Member member, Timing timing, Life life, long lifeSince, long startedAt, boolean ready) {

  /**
   * Returns the producer under which this entry instance writes records of its own.
   *
   * @return the producer
   */
  public Producer producer() {
    return new Producer(member.id().value(), member.incarnation());
  }

  /**
   * Returns a copy in another state of the lifecycle.
   *
   * @param next the state
   * @param at time at which the state begins
   * @return the new value
   */
  public Self withLife(Life next, long at) {
    return new Self(member, timing, next, at, startedAt, ready);
  }

  /**
   * Returns a copy with another readiness.
   *
   * @param next whether the entry instance is ready
   * @return the new value
   */
  public Self withReady(boolean next) {
    return new Self(member, timing, life, lifeSince, startedAt, next);
  }

  /**
   * Tells whether new requests are accepted.
   *
   * @return false from the state {@link Life#FINISHING} on
   */
  public boolean takesRequests() {
    return life == Life.SERVING || life == Life.LEAVING_BALANCER || life == Life.JOINING;
  }

  /**
   * Tells whether a stop was requested.
   *
   * @return true from the state {@link Life#LEAVING_BALANCER} on
   */
  public boolean isStopping() {
    return life != Life.JOINING && life != Life.SERVING;
  }
}
