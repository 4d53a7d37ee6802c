package dev.toucanstall.core.state;

import java.util.List;

/**
 * Usage of the slots of one key on this entry instance. A slot is the right to run one request.
 * Immutable. Times are in nanoseconds of the monotonic clock.
 *
 * @param running number of running requests
 * @param home number of slots allocated to this entry instance
 * @param homeVersion version of the allocation by which {@code home} was computed
 * @param lent loans to peers
 * @param borrowed loans from peers
 * @param openAsk id of the requested loan that has not been answered, 0 if none
 * @param askedAt time at which that loan was requested
 * @param nextPeer counter that selects the next lender, round-robin
 * @param refusedInRow number of consecutive lenders that had no free slots
 * @param askAgainAt time before which no loan is requested
 */
public record SlotUse(
    int running,
    int home,
    long homeVersion,
    List<LoanOut> lent,
    List<LoanIn> borrowed,
    long openAsk,
    long askedAt,
    int nextPeer,
    int refusedInRow,
    long askAgainAt) {

  /** Usage without requests and loans; the allocation is not yet computed. */
  public static final SlotUse EMPTY = new SlotUse(0, 0, -1, List.of(), List.of(), 0, 0, 0, 0, 0);

  /**
   * Returns the number of lent slots that count as used at a given time.
   *
   * @param now the time
   * @return the number of slots
   */
  public int lentCount(long now) {
    int sum = 0;
    for (LoanOut loan : lent) {
      sum += loan.countedUntil() > now ? loan.count() : 0;
    }
    return sum;
  }

  /**
   * Returns the number of requests that may run at a given time.
   *
   * @param now the time
   * @return allocated slots, less those lent, plus usable borrowed ones; negative if more slots are
   *     lent than allocated after the allocation has shrunk
   */
  public int capacity(long now) {
    int sum = home - lentCount(now);
    for (LoanIn loan : borrowed) {
      sum += loan.usableUntil() > now ? loan.count() : 0;
    }
    return sum;
  }

  /**
   * Returns the number of further requests that may start.
   *
   * @param now the time
   * @return capacity less running requests; negative if more run than the capacity allows
   */
  public int free(long now) {
    return capacity(now) - running;
  }

  /**
   * Returns the latest time at which one more request may start.
   *
   * @param now the time
   * @return the earliest end of a usable loan if the request needs a borrowed slot, else {@link
   *     Long#MAX_VALUE}
   */
  public long startUntil(long now) {
    if (running < home - lentCount(now)) {
      return Long.MAX_VALUE;
    }
    long until = Long.MAX_VALUE;
    for (LoanIn loan : borrowed) {
      until = loan.usableUntil() > now ? Math.min(until, loan.usableUntil()) : until;
    }
    return until;
  }

  /**
   * Returns a copy with another number of running requests.
   *
   * @param next the number
   * @return the new usage
   */
  public SlotUse withRunning(int next) {
    return new SlotUse(
        next,
        home,
        homeVersion,
        lent,
        borrowed,
        openAsk,
        askedAt,
        nextPeer,
        refusedInRow,
        askAgainAt);
  }

  /**
   * Returns a copy with another allocation.
   *
   * @param slots number of allocated slots
   * @param version version of the allocation
   * @return the new usage
   */
  public SlotUse withHome(int slots, long version) {
    return new SlotUse(
        running,
        slots,
        version,
        lent,
        borrowed,
        openAsk,
        askedAt,
        nextPeer,
        refusedInRow,
        askAgainAt);
  }

  /**
   * Returns a copy with other loans to peers.
   *
   * @param next the loans
   * @return the new usage
   */
  public SlotUse withLent(List<LoanOut> next) {
    return new SlotUse(
        running,
        home,
        homeVersion,
        List.copyOf(next),
        borrowed,
        openAsk,
        askedAt,
        nextPeer,
        refusedInRow,
        askAgainAt);
  }

  /**
   * Returns a copy with other loans from peers.
   *
   * @param next the loans
   * @return the new usage
   */
  public SlotUse withBorrowed(List<LoanIn> next) {
    return new SlotUse(
        running,
        home,
        homeVersion,
        lent,
        List.copyOf(next),
        openAsk,
        askedAt,
        nextPeer,
        refusedInRow,
        askAgainAt);
  }

  /**
   * Returns a copy after a loan was requested.
   *
   * @param ask id of the loan
   * @param at time of the request
   * @return the new usage, with the next lender selected
   */
  public SlotUse asking(long ask, long at) {
    return new SlotUse(
        running, home, homeVersion, lent, borrowed, ask, at, nextPeer + 1, refusedInRow, 0);
  }

  /**
   * Returns a copy after the requested loan was answered.
   *
   * @param refused number of consecutive lenders that had no free slots
   * @param againAt time before which no loan is requested, 0 for no restriction
   * @return the new usage
   */
  public SlotUse answered(int refused, long againAt) {
    return new SlotUse(
        running, home, homeVersion, lent, borrowed, 0, 0, nextPeer, refused, againAt);
  }

  /**
   * Tells whether the usage can be dropped without loss.
   *
   * @return true if no request runs, no slot is lent or borrowed and no requested loan is open
   */
  public boolean isIdle() {
    return running == 0 && lent.isEmpty() && borrowed.isEmpty() && openAsk == 0;
  }
}
