package dev.toucanstall.core.state;

import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.model.PoolId;
import dev.toucanstall.core.model.RequestKey;
import dev.toucanstall.core.model.TeamId;
import java.util.Comparator;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.pcollections.HashPMap;
import org.pcollections.HashTreePMap;
import org.pcollections.TreePMap;
import org.pcollections.TreePSet;

/**
 * Requests in progress on this entry instance. Immutable. Times are in nanoseconds of the monotonic
 * clock.
 *
 * @param requests requests by number
 * @param numbersByKey numbers of requests that have an id, by that id
 * @param claimRequestedAt time at which the claim of a request was requested, by number of the
 *     request; only of requests that still wait for their claim
 * @param queuesByPool queues by pool
 * @param abandoned attempts that may still run although their connection is lost
 * @param retryTokens budget of retries; a retry takes one token
 */
public record Traffic(
    HashPMap<Long, Request> requests,
    HashPMap<RequestKey, Long> numbersByKey,
    TreePMap<Long, Long> claimRequestedAt,
    HashPMap<PoolId, PoolQueue> queuesByPool,
    TreePSet<AbandonedAttempt> abandoned,
    double retryTokens) {

  /** Maximum number of retry tokens. */
  public static final double MAX_RETRY_TOKENS = 50;

  /** Retry tokens earned by each attempt that ends. */
  public static final double RETRY_TOKENS_PER_ATTEMPT = 0.1;

  /** Traffic without requests, with the full budget of retries. */
  public static final Traffic EMPTY =
      new Traffic(
          HashTreePMap.empty(),
          HashTreePMap.empty(),
          TreePMap.empty(),
          HashTreePMap.empty(),
          TreePSet.empty(),
          MAX_RETRY_TOKENS);

  /**
   * An attempt that may still run on a backend server although its connection is lost. It uses its
   * slots until its latest end.
   *
   * @param latestEndAt time by which the backend server has ended the request at the latest
   * @param number number of the request
   * @param team team of the request
   * @param instance instance on which the attempt runs
   */
  public record AbandonedAttempt(long latestEndAt, long number, TeamId team, InstanceId instance)
      implements Comparable<AbandonedAttempt> {

    private static final Comparator<AbandonedAttempt> ORDER =
        Comparator.comparingLong(AbandonedAttempt::latestEndAt)
            .thenComparingLong(AbandonedAttempt::number)
            .thenComparing(AbandonedAttempt::instance);

    @Override
    public int compareTo(AbandonedAttempt other) {
      return ORDER.compare(this, other);
    }
  }

  /**
   * Returns the request of a number.
   *
   * @param number the number
   * @return the request, null if it is not in progress
   */
  public @Nullable Request get(long number) {
    return requests.get(number);
  }

  /**
   * Returns the queue of a pool.
   *
   * @param pool the pool
   * @return the queue, {@link PoolQueue#EMPTY} if the pool has no requests
   */
  public PoolQueue queueOf(PoolId pool) {
    return Objects.requireNonNullElse(queuesByPool.get(pool), PoolQueue.EMPTY);
  }

  /**
   * Returns a copy with a request added or replaced.
   *
   * @param request the request
   * @return the new traffic
   */
  public Traffic with(Request request) {
    RequestKey key = request.requestKey();
    var index = key == null ? numbersByKey : numbersByKey.plus(key, request.number());
    var claimTimes = claimRequestedAtWith(request);
    return new Traffic(
        requests.plus(request.number(), request),
        index,
        claimTimes,
        queuesByPool,
        abandoned,
        retryTokens);
  }

  private TreePMap<Long, Long> claimRequestedAtWith(Request request) {
    if (request.stage() instanceof RequestStage.Claiming stage) {
      return claimRequestedAt.plus(request.number(), stage.requestedAt());
    }
    return request.needsClaim() ? claimRequestedAt.minus(request.number()) : claimRequestedAt;
  }

  /**
   * Returns a copy without a request.
   *
   * @param request the request
   * @return the new traffic
   */
  public Traffic without(Request request) {
    long number = request.number();
    RequestKey key = request.requestKey();
    boolean indexed = key != null && Objects.equals(numbersByKey.get(key), number);
    return new Traffic(
        requests.minus(number),
        indexed ? numbersByKey.minus(key) : numbersByKey,
        request.needsClaim() ? claimRequestedAt.minus(number) : claimRequestedAt,
        queuesByPool,
        abandoned,
        retryTokens);
  }

  /**
   * Returns a copy with the queue of a pool added or replaced.
   *
   * @param pool the pool
   * @param queue the new queue
   * @return the new traffic
   */
  public Traffic withQueue(PoolId pool, PoolQueue queue) {
    return new Traffic(
        requests,
        numbersByKey,
        claimRequestedAt,
        queuesByPool.plus(pool, queue),
        abandoned,
        retryTokens);
  }

  /**
   * Returns a copy with other abandoned attempts.
   *
   * @param next the attempts
   * @return the new traffic
   */
  public Traffic withAbandoned(TreePSet<AbandonedAttempt> next) {
    return new Traffic(requests, numbersByKey, claimRequestedAt, queuesByPool, next, retryTokens);
  }

  /**
   * Returns a copy with retry tokens added or taken, at most {@link #MAX_RETRY_TOKENS}.
   *
   * @param change number of tokens to add, negative to take
   * @return the new traffic
   */
  public Traffic withRetryTokens(double change) {
    double next = Math.min(MAX_RETRY_TOKENS, retryTokens + change);
    return next == retryTokens
        ? this
        : new Traffic(requests, numbersByKey, claimRequestedAt, queuesByPool, abandoned, next);
  }

  /**
   * Tells whether no request is in progress and no abandoned attempt may still run.
   *
   * @return true if so
   */
  public boolean isIdle() {
    return requests.isEmpty() && abandoned.isEmpty();
  }
}
