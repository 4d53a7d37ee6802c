package dev.toucanstall.core.state;

import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.model.RequestKey;
import org.jspecify.annotations.Nullable;
import org.pcollections.HashPMap;
import org.pcollections.HashTreePMap;
import org.pcollections.TreePMap;

/**
 * The claims of request ids that this entry instance keeps for its peers and itself.
 *
 * @param byKey the claims by request id
 * @param byAge the request ids by the order in which they were claimed
 * @param lastOrder the order of the newest claim
 * @param incompleteUntil before when this start may lack claims that an earlier start kept
 * @param oldestRelevantEpoch the newest epoch that some member folded longer ago than the claim
 *     window
 */
public record Claims(
    HashPMap<RequestKey, Claim> byKey,
    TreePMap<Long, RequestKey> byAge,
    long lastOrder,
    long incompleteUntil,
    long oldestRelevantEpoch) {

  /** Most claims kept; the oldest go first, which shortens their window under overload. */
  public static final int MAX_CLAIMS = 200_000;

  /** No claims. */
  public static final Claims EMPTY = new Claims(HashTreePMap.empty(), TreePMap.empty(), 0, 0, -1);

  /**
   * One claim.
   *
   * @param holder the instance that may run the request
   * @param incarnation its start
   * @param claimNumber its number of the claim
   * @param grantedAt when it was granted
   * @param order its place among all claims
   */
  public record Claim(
      MemberId holder, long incarnation, long claimNumber, long grantedAt, long order) {

    /**
     * Tells whether this is a given submission's claim.
     *
     * @param member the instance
     * @param start its start
     * @param number its number of the claim
     * @return true if so
     */
    public boolean matches(MemberId member, long start, long number) {
      return holder.equals(member) && incarnation == start && claimNumber == number;
    }
  }

  /**
   * Returns a claim.
   *
   * @param key the request id
   * @return the claim, null if there is none
   */
  public @Nullable Claim get(RequestKey key) {
    return byKey.get(key);
  }

  /**
   * Returns the claims with one added.
   *
   * @param key the request id
   * @param holder the instance that may run the request
   * @param incarnation its start
   * @param claim its number of the claim
   * @param at when
   * @return the new claims
   */
  public Claims grant(RequestKey key, MemberId holder, long incarnation, long claim, long at) {
    long order = lastOrder + 1;
    Claim granted = new Claim(holder, incarnation, claim, at, order);
    return new Claims(
        byKey.plus(key, granted),
        byAge.plus(order, key),
        order,
        incompleteUntil,
        oldestRelevantEpoch);
  }

  /**
   * Returns the claims without one.
   *
   * @param key the request id
   * @return the new claims
   */
  public Claims release(RequestKey key) {
    Claim claim = byKey.get(key);
    return claim == null
        ? this
        : new Claims(
            byKey.minus(key),
            byAge.minus(claim.order()),
            lastOrder,
            incompleteUntil,
            oldestRelevantEpoch);
  }

  /**
   * Returns the claims without those granted before a time.
   *
   * @param before the time
   * @return the new claims
   */
  public Claims expire(long before) {
    Claims claims = this;
    while (!claims.byAge.isEmpty()) {
      RequestKey oldest = claims.byAge.firstEntry().getValue();
      Claim claim = claims.byKey.get(oldest);
      boolean kept =
          claim != null && claim.grantedAt() >= before && claims.byAge.size() <= MAX_CLAIMS;
      if (kept) {
        return claims;
      }
      claims = claims.release(oldest);
    }
    return claims;
  }

  /**
   * Returns the claims with the time until which this start may lack some.
   *
   * @param until the time
   * @return the new claims
   */
  public Claims withIncompleteUntil(long until) {
    return new Claims(byKey, byAge, lastOrder, until, oldestRelevantEpoch);
  }

  /**
   * Returns the claims with a newer settled epoch.
   *
   * @param epoch the epoch
   * @return the new claims
   */
  public Claims withOldestRelevantEpoch(long epoch) {
    return epoch <= oldestRelevantEpoch
        ? this
        : new Claims(byKey, byAge, lastOrder, incompleteUntil, epoch);
  }
}
