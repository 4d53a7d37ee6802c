package dev.toucanstall.core.plan;

import java.util.HashMap;
import java.util.Map;

/**
 * Tells which submissions lie within the share of their client account: a token bucket an account,
 * filled by its weight in jobs a second. Owned by the control thread.
 */
final class Shares {

  /** Seconds of its weight that an account may send at once. */
  private static final double BURST_S = 1.0;

  private static final double SECOND_MS = 1_000;

  private record Bucket(double tokens, long atMs) {}

  private final Map<String, Bucket> buckets = new HashMap<>();

  /** Takes a token if there is one; tells whether there was. */
  boolean take(String account, double weight, long nowMs) {
    double most = Math.max(1, weight * BURST_S);
    Bucket old = buckets.getOrDefault(account, new Bucket(most, nowMs));
    double filled = Math.min(most, old.tokens + (nowMs - old.atMs) / SECOND_MS * weight);
    boolean within = filled >= 1;
    buckets.put(account, new Bucket(within ? filled - 1 : filled, nowMs));
    return within;
  }
}
