package dev.toucanstall.core.state;

import dev.toucanstall.core.model.Producer;
import dev.toucanstall.core.record.Member;

/**
 * What an entry instance knows of itself.
 *
 * @param identity its identity
 * @param timing its durations
 * @param lifecycle where it is in its life
 * @param lifecycleSince since when, in nanoseconds of the monotonic clock
 * @param startedAt when it started
 * @param ready what it last told the balancer
 */
public record LocalMember(
    Member identity,
    Timing timing,
    LifecycleState lifecycle,
    long lifecycleSince,
    long startedAt,
    boolean ready) {

  /**
   * Returns the name under which it writes records.
   *
   * @return the producer
   */
  public Producer producer() {
    return new Producer(identity.id().value(), identity.incarnation());
  }

  /**
   * Returns it in another part of its life.
   *
   * @param next the part
   * @param at since when
   * @return the new value
   */
  public LocalMember withLifecycle(LifecycleState next, long at) {
    return new LocalMember(identity, timing, next, at, startedAt, ready);
  }

  /**
   * Returns it with another word to the balancer.
   *
   * @param next the word
   * @return the new value
   */
  public LocalMember withReady(boolean next) {
    return new LocalMember(identity, timing, lifecycle, lifecycleSince, startedAt, next);
  }

  /**
   * Tells whether requests are still taken.
   *
   * @return true before the instance finishes what it has
   */
  public boolean acceptsRequests() {
    return lifecycle == LifecycleState.SERVING
        || lifecycle == LifecycleState.LEAVING_BALANCER
        || lifecycle == LifecycleState.JOINING;
  }

  /**
   * Tells whether a stop was asked for.
   *
   * @return true from the stop on
   */
  public boolean isStopping() {
    return lifecycle != LifecycleState.JOINING && lifecycle != LifecycleState.SERVING;
  }
}
