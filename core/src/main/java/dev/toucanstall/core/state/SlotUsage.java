package dev.toucanstall.core.state;

import java.util.List;

/**
 * Usage of the slots of one key on this entry instance. A slot is the right to run one request.
 * Immutable. Times are in nanoseconds of the monotonic clock.
 *
 * @param running number of running requests
 * @param allocated number of slots allocated to this entry instance
 * @param allocationVersion version of the inputs from which {@code allocated} was computed, as in
 *     {@link Slots}
 * @param lent loans to peers
 * @param borrowed loans from peers
 * @param pendingLoanId id of the requested loan that has not been answered, 0 if none
 * @param loanRequestedAt time at which the unanswered loan was requested, 0 if there is none
 * @param nextLender counter that selects the next lender, round-robin
 * @param consecutiveRefusals number of consecutive lenders that had no free slots
 * @param nextLoanRequestAt time before which no loan is requested
 */
public record SlotUsage(
    int running,
    int allocated,
    long allocationVersion,
    List<LentSlots> lent,
    List<BorrowedSlots> borrowed,
    long pendingLoanId,
    long loanRequestedAt,
    int nextLender,
    int consecutiveRefusals,
    long nextLoanRequestAt) {

  /** Usage without requests and loans; the allocation is not yet computed. */
  public static final SlotUsage EMPTY =
      new SlotUsage(0, 0, -1, List.of(), List.of(), 0, 0, 0, 0, 0);

  /**
   * Returns the number of lent slots that count as used at a given time.
   *
   * @param now the time
   * @return the number of slots
   */
  public int lentCount(long now) {
    int sum = 0;
    for (LentSlots loan : lent) {
      sum += loan.reservedUntil() > now ? loan.count() : 0;
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
    int sum = allocated - lentCount(now);
    for (BorrowedSlots loan : borrowed) {
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
  public int freeSlots(long now) {
    return capacity(now) - running;
  }

  /**
   * Returns the latest time at which one more request may start.
   *
   * @param now the time
   * @return the earliest end of a usable loan if the request needs a borrowed slot, else {@link
   *     Long#MAX_VALUE}
   */
  public long latestStart(long now) {
    if (running < allocated - lentCount(now)) {
      return Long.MAX_VALUE;
    }
    long until = Long.MAX_VALUE;
    for (BorrowedSlots loan : borrowed) {
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
  public SlotUsage withRunning(int next) {
    return new SlotUsage(
        next,
        allocated,
        allocationVersion,
        lent,
        borrowed,
        pendingLoanId,
        loanRequestedAt,
        nextLender,
        consecutiveRefusals,
        nextLoanRequestAt);
  }

  /**
   * Returns a copy with another allocation.
   *
   * @param slots number of allocated slots
   * @param version version of the inputs from which the number was computed
   * @return the new usage
   */
  public SlotUsage withAllocation(int slots, long version) {
    return new SlotUsage(
        running,
        slots,
        version,
        lent,
        borrowed,
        pendingLoanId,
        loanRequestedAt,
        nextLender,
        consecutiveRefusals,
        nextLoanRequestAt);
  }

  /**
   * Returns a copy with other loans to peers.
   *
   * @param next the loans
   * @return the new usage
   */
  public SlotUsage withLent(List<LentSlots> next) {
    return new SlotUsage(
        running,
        allocated,
        allocationVersion,
        List.copyOf(next),
        borrowed,
        pendingLoanId,
        loanRequestedAt,
        nextLender,
        consecutiveRefusals,
        nextLoanRequestAt);
  }

  /**
   * Returns a copy with other loans from peers.
   *
   * @param next the loans
   * @return the new usage
   */
  public SlotUsage withBorrowed(List<BorrowedSlots> next) {
    return new SlotUsage(
        running,
        allocated,
        allocationVersion,
        lent,
        List.copyOf(next),
        pendingLoanId,
        loanRequestedAt,
        nextLender,
        consecutiveRefusals,
        nextLoanRequestAt);
  }

  /**
   * Returns a copy after a loan was requested.
   *
   * @param loanId id of the loan
   * @param requestedAt time of the request
   * @return the new usage, with the next lender selected
   */
  public SlotUsage withLoanRequested(long loanId, long requestedAt) {
    return new SlotUsage(
        running,
        allocated,
        allocationVersion,
        lent,
        borrowed,
        loanId,
        requestedAt,
        nextLender + 1,
        consecutiveRefusals,
        0);
  }

  /**
   * Returns a copy after the requested loan was answered.
   *
   * @param refusals number of consecutive lenders that had no free slots
   * @param nextRequestAt time before which no loan is requested, 0 for no restriction
   * @return the new usage
   */
  public SlotUsage withLoanAnswered(int refusals, long nextRequestAt) {
    return new SlotUsage(
        running,
        allocated,
        allocationVersion,
        lent,
        borrowed,
        0,
        0,
        nextLender,
        refusals,
        nextRequestAt);
  }

  /**
   * Tells whether the usage can be dropped without loss.
   *
   * @return true if no request runs, no slot is lent or borrowed and no requested loan is open
   */
  public boolean isIdle() {
    return running == 0 && lent.isEmpty() && borrowed.isEmpty() && pendingLoanId == 0;
  }
}
