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
 * The requests that this entry instance holds.
 *
 * @param requests the requests by number
 * @param numbersByKey the numbers of requests with an id, by that id
 * @param claimRequestedAt when the claims of requests that wait for them were asked for, by number
 * @param queuesByPool the queues by pool
 * @param abandoned attempts that may still run although their connection is gone
 * @param retryTokens how many retries may be made, earned by first attempts
 */
public record Traffic(
    HashPMap<Long, Request> requests,
    HashPMap<RequestKey, Long> numbersByKey,
    TreePMap<Long, Long> claimRequestedAt,
    HashPMap<PoolId, PoolQueue> queuesByPool,
    TreePSet<AbandonedAttempt> abandoned,
    double retryTokens) {

  /** Most retry tokens that can be saved. */
  public static final double MAX_RETRY_TOKENS = 50;

  /** Retry tokens earned by one first attempt. */
  public static final double RETRY_TOKENS_PER_ATTEMPT = 0.1;

  /** No requests. */
  public static final Traffic EMPTY =
      new Traffic(
          HashTreePMap.empty(),
          HashTreePMap.empty(),
          TreePMap.empty(),
          HashTreePMap.empty(),
          TreePSet.empty(),
          MAX_RETRY_TOKENS);

  /**
   * An attempt that may still run on a backend server until its deadline.
   *
   * @param latestEndAt its deadline
   * @param number the request's number
   * @param team the team
   * @param instance the instance
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
   * Returns a request.
   *
   * @param number its number
   * @return the request, null if it is not held
   */
  public @Nullable Request get(long number) {
    return requests.get(number);
  }

  /**
   * Returns a pool's queue.
   *
   * @param pool the pool
   * @return the queue, with nothing in it if the pool has no work
   */
  public PoolQueue queueOf(PoolId pool) {
    return Objects.requireNonNullElse(queuesByPool.get(pool), PoolQueue.EMPTY);
  }

  /**
   * Returns the traffic with a request added or replaced.
   *
   * @param request the request
   * @return the new traffic
   */
  public Traffic with(Request request) {
    RequestKey key = request.requestKey();
    var index = key == null ? numbersByKey : numbersByKey.plus(key, request.number());
    var claims = claimingWith(request);
    return new Traffic(
        requests.plus(request.number(), request),
        index,
        claims,
        queuesByPool,
        abandoned,
        retryTokens);
  }

  private TreePMap<Long, Long> claimingWith(Request request) {
    if (request.stage() instanceof RequestStage.Claiming stage) {
      return claimRequestedAt.plus(request.number(), stage.requestedAt());
    }
    return request.needsClaim() ? claimRequestedAt.minus(request.number()) : claimRequestedAt;
  }

  /**
   * Returns the traffic without a request.
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
   * Returns the traffic with a pool's queue replaced.
   *
   * @param pool the pool
   * @param queue its queue
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
   * Returns the traffic with other abandoned attempts.
   *
   * @param next the attempts
   * @return the new traffic
   */
  public Traffic withAbandoned(TreePSet<AbandonedAttempt> next) {
    return new Traffic(requests, numbersByKey, claimRequestedAt, queuesByPool, next, retryTokens);
  }

  /**
   * Returns the traffic with retry tokens added or taken.
   *
   * @param change how many
   * @return the new traffic
   */
  public Traffic withRetryTokens(double change) {
    double next = Math.min(MAX_RETRY_TOKENS, retryTokens + change);
    return next == retryTokens
        ? this
        : new Traffic(requests, numbersByKey, claimRequestedAt, queuesByPool, abandoned, next);
  }

  /**
   * Tells whether nothing is held and nothing abandoned may still run.
   *
   * @return true if so
   */
  public boolean isIdle() {
    return requests.isEmpty() && abandoned.isEmpty();
  }
}
