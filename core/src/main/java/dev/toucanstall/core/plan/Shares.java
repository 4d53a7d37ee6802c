package dev.toucanstall.core.plan;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the submissions within the share of each client account by a token bucket, refilled at the
 * account's weight in jobs per second. Owned by the control thread.
 */
final class Shares {

  /** Size of a bucket in seconds of its refill. */
  private static final double BURST_SECONDS = 1.0;

  private static final double MS_PER_SECOND = 1_000;

  /**
   * Token bucket of a client account.
   *
   * @param tokens tokens at the last update
   * @param updatedMs time of the last update, in milliseconds of the monotonic clock
   */
  private record TokenBucket(double tokens, long updatedMs) {}

  /** Buckets by the name of the client account. */
  private final Map<String, TokenBucket> buckets = new HashMap<>();

  /**
   * Takes a token if there is one.
   *
   * @param account name of the client account
   * @param weight weight of the account, in jobs per second
   * @param nowMs time of the submission, in milliseconds of the monotonic clock
   * @return true if the submission is within the account's share
   */
  boolean tryTake(String account, double weight, long nowMs) {
    double capacity = Math.max(1, weight * BURST_SECONDS);
    TokenBucket previous = buckets.getOrDefault(account, new TokenBucket(capacity, nowMs));
    double available =
        Math.min(capacity, previous.tokens + (nowMs - previous.updatedMs) / MS_PER_SECOND * weight);
    boolean withinShare = available >= 1;
    buckets.put(account, new TokenBucket(withinShare ? available - 1 : available, nowMs));
    return withinShare;
  }
}
