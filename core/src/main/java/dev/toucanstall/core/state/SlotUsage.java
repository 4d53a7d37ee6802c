package dev.toucanstall.core.state;

import java.util.List;

/**
 * The use of one kind of slots on this entry instance.
 *
 * @param running requests that run under them
 * @param allocated slots that this instance is home to
 * @param allocationVersion the version of the split by which {@code home} was worked out
 * @param lent slots lent to peers
 * @param borrowed slots borrowed from peers
 * @param pendingLoanId the number of the question for a loan that waits for its answer, 0 if none
 * @param loanRequestedAt when that question was sent
 * @param nextLender which peer is asked next
 * @param consecutiveRefusals how many peers in a row had nothing to lend
 * @param nextLoanRequestAt before when no question is sent
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

  /** No use yet; the home share is to be worked out. */
  public static final SlotUsage EMPTY =
      new SlotUsage(0, 0, -1, List.of(), List.of(), 0, 0, 0, 0, 0);

  /**
   * Returns the slots lent to peers that count at a time.
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
   * Returns how many requests may run at a time.
   *
   * @param now the time
   * @return home slots less those lent plus usable borrowed ones; negative if too much is lent
   */
  public int capacity(long now) {
    int sum = allocated - lentCount(now);
    for (BorrowedSlots loan : borrowed) {
      sum += loan.usableUntil() > now ? loan.count() : 0;
    }
    return sum;
  }

  /**
   * Returns how many more requests may start.
   *
   * @param now the time
   * @return the number, negative if more run than may
   */
  public int freeSlots(long now) {
    return capacity(now) - running;
  }

  /**
   * Returns the last moment at which one more request may start.
   *
   * @param now the time
   * @return the end of the first loan that ends if loans are needed, else no bound
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
   * Returns the use with another number of running requests.
   *
   * @param next the number
   * @return the new use
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
   * Returns the use with another home share.
   *
   * @param slots the share
   * @param version the version of the split
   * @return the new use
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
   * Returns the use with other lent slots.
   *
   * @param next the loans
   * @return the new use
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
   * Returns the use with other borrowed slots.
   *
   * @param next the loans
   * @return the new use
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
   * Returns the use with a question sent.
   *
   * @param ask its number
   * @param at when
   * @return the new use
   */
  public SlotUsage withLoanRequested(long ask, long at) {
    return new SlotUsage(
        running,
        allocated,
        allocationVersion,
        lent,
        borrowed,
        ask,
        at,
        nextLender + 1,
        consecutiveRefusals,
        0);
  }

  /**
   * Returns the use with its question answered.
   *
   * @param refused how many peers in a row had nothing to lend
   * @param againAt before when no question is sent
   * @return the new use
   */
  public SlotUsage withLoanAnswered(int refused, long againAt) {
    return new SlotUsage(
        running, allocated, allocationVersion, lent, borrowed, 0, 0, nextLender, refused, againAt);
  }

  /**
   * Tells whether there is nothing worth keeping.
   *
   * @return true if nothing runs and nothing is lent or borrowed
   */
  public boolean isIdle() {
    return running == 0 && lent.isEmpty() && borrowed.isEmpty() && pendingLoanId == 0;
  }
}
