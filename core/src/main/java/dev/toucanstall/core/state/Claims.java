package dev.toucanstall.core.state;

import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.model.RequestKey;
import org.jspecify.annotations.Nullable;
import org.pcollections.HashPMap;
import org.pcollections.HashTreePMap;
import org.pcollections.TreePMap;

/**
 * Claims of request ids for which this entry instance is a claim replica, for its peers and itself.
 * Immutable. Times are in nanoseconds of the monotonic clock.
 *
 * @param byKey claims by request id
 * @param byAge request ids by the order of their claims, oldest first
 * @param lastOrder order of the newest claim, 0 if there was none
 * @param incompleteUntil time until which claims granted by an earlier incarnation may be missing
 *     here
 * @param oldestRelevantEpoch newest epoch that some member folded longer ago than the claim window,
 *     -1 if none; claims of earlier epochs have expired
 */
public record Claims(
    HashPMap<RequestKey, Claim> byKey,
    TreePMap<Long, RequestKey> byAge,
    long lastOrder,
    long incompleteUntil,
    long oldestRelevantEpoch) {

  /** Maximum number of claims; beyond it the oldest are dropped, before their window has passed. */
  public static final int MAX_CLAIMS = 200_000;

  /** Claims of an entry instance that has granted none. */
  public static final Claims EMPTY = new Claims(HashTreePMap.empty(), TreePMap.empty(), 0, 0, -1);

  /**
   * The exclusive right of one submission to run a request.
   *
   * @param holder entry instance that may run the request
   * @param incarnation incarnation of the holder
   * @param claimNumber number that the holder gave the claim
   * @param grantedAt time of the grant
   * @param order position among all claims that this replica has granted
   */
  public record Claim(
      MemberId holder, long incarnation, long claimNumber, long grantedAt, long order) {

    /**
     * Tells whether this claim belongs to a given submission.
     *
     * @param member entry instance that submits the request
     * @param memberIncarnation incarnation of that entry instance
     * @param memberClaimNumber number that the entry instance gave the claim
     * @return true if all three match
     */
    public boolean matches(MemberId member, long memberIncarnation, long memberClaimNumber) {
      return holder.equals(member)
          && incarnation == memberIncarnation
          && claimNumber == memberClaimNumber;
    }
  }

  /**
   * Returns the claim of a request id.
   *
   * @param key the request id
   * @return the claim, null if the id is not claimed
   */
  public @Nullable Claim get(RequestKey key) {
    return byKey.get(key);
  }

  /**
   * Returns a copy with one claim added.
   *
   * @param key the request id, not claimed so far
   * @param holder entry instance that may run the request
   * @param incarnation incarnation of the holder
   * @param claimNumber number that the holder gave the claim
   * @param now time of the grant
   * @return the new claims
   */
  public Claims grant(
      RequestKey key, MemberId holder, long incarnation, long claimNumber, long now) {
    long order = lastOrder + 1;
    Claim granted = new Claim(holder, incarnation, claimNumber, now, order);
    return new Claims(
        byKey.plus(key, granted),
        byAge.plus(order, key),
        order,
        incompleteUntil,
        oldestRelevantEpoch);
  }

  /**
   * Returns a copy without the claim of a request id.
   *
   * @param key the request id, need not be claimed
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
   * Returns a copy without expired claims and with at most {@link #MAX_CLAIMS} claims.
   *
   * @param cutoff time before which a claim must have been granted to be expired
   * @return the new claims
   */
  public Claims expire(long cutoff) {
    Claims claims = this;
    while (!claims.byAge.isEmpty()) {
      RequestKey oldest = claims.byAge.firstEntry().getValue();
      Claim claim = claims.byKey.get(oldest);
      boolean retained =
          claim != null && claim.grantedAt() >= cutoff && claims.byAge.size() <= MAX_CLAIMS;
      if (retained) {
        return claims;
      }
      claims = claims.release(oldest);
    }
    return claims;
  }

  /**
   * Returns a copy with the time until which claims may be missing.
   *
   * @param until the time
   * @return the new claims
   */
  public Claims withIncompleteUntil(long until) {
    return new Claims(byKey, byAge, lastOrder, until, oldestRelevantEpoch);
  }

  /**
   * Returns a copy with a newer oldest relevant epoch.
   *
   * @param epoch the epoch; ignored if it is not newer
   * @return the new claims
   */
  public Claims withOldestRelevantEpoch(long epoch) {
    return epoch <= oldestRelevantEpoch
        ? this
        : new Claims(byKey, byAge, lastOrder, incompleteUntil, epoch);
  }
}
