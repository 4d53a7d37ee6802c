package dev.toucanstall.core.plan;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the submissions within the share of each client account by a token bucket, refilled at the
 * account's weight in jobs per second. Owned by the control thread.
 */
final class Shares {

  /** Size of a bucket in seconds of its refill. */
  private static final double BURST_S = 1.0;

  /** Milliseconds in a second. */
  private static final double SECOND_MS = 1_000;

  /**
   * Token bucket of a client account.
   *
   * @param tokens tokens at the last update
   * @param atMs time of the last update, in milliseconds of the steady clock
   */
  private record Bucket(double tokens, long atMs) {}

  /** Buckets by the name of the client account. */
  private final Map<String, Bucket> buckets = new HashMap<>();

  /**
   * Takes a token if there is one.
   *
   * @param account name of the client account
   * @param weight weight of the account, in jobs per second
   * @param nowMs time of the submission, in milliseconds of the steady clock
   * @return true if the submission is within the account's share
   */
  boolean take(String account, double weight, long nowMs) {
    double most = Math.max(1, weight * BURST_S);
    Bucket old = buckets.getOrDefault(account, new Bucket(most, nowMs));
    double filled = Math.min(most, old.tokens + (nowMs - old.atMs) / SECOND_MS * weight);
    boolean within = filled >= 1;
    buckets.put(account, new Bucket(within ? filled - 1 : filled, nowMs));
    return within;
  }
}
