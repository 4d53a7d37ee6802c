package dev.toucanstall.core.state;

import java.util.List;

/**
 * The use of one kind of slots on this entry instance.
 *
 * @param running requests that run under them
 * @param home slots that this instance is home to
 * @param homeVersion the version of the split by which {@code home} was worked out
 * @param lent slots lent to peers
 * @param borrowed slots borrowed from peers
 * @param pendingLoanId the number of the question for a loan that waits for its answer, 0 if none
 * @param loanRequestedAt when that question was sent
 * @param nextLender which peer is asked next
 * @param consecutiveRefusals how many peers in a row had nothing to lend
 * @param nextLoanRequestAt before when no question is sent
 */
public record SlotUse(
    int running,
    int home,
    long homeVersion,
    List<LentSlots> lent,
    List<BorrowedSlots> borrowed,
    long pendingLoanId,
    long loanRequestedAt,
    int nextLender,
    int consecutiveRefusals,
    long nextLoanRequestAt) {

  /** No use yet; the home share is to be worked out. */
  public static final SlotUse EMPTY = new SlotUse(0, 0, -1, List.of(), List.of(), 0, 0, 0, 0, 0);

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
    int sum = home - lentCount(now);
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
  public int free(long now) {
    return capacity(now) - running;
  }

  /**
   * Returns the last moment at which one more request may start.
   *
   * @param now the time
   * @return the end of the first loan that ends if loans are needed, else no bound
   */
  public long startUntil(long now) {
    if (running < home - lentCount(now)) {
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
  public SlotUse withRunning(int next) {
    return new SlotUse(
        next,
        home,
        homeVersion,
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
  public SlotUse withHome(int slots, long version) {
    return new SlotUse(
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
  public SlotUse withLent(List<LentSlots> next) {
    return new SlotUse(
        running,
        home,
        homeVersion,
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
  public SlotUse withBorrowed(List<BorrowedSlots> next) {
    return new SlotUse(
        running,
        home,
        homeVersion,
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
  public SlotUse withLoanRequested(long ask, long at) {
    return new SlotUse(
        running,
        home,
        homeVersion,
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
  public SlotUse withLoanAnswered(int refused, long againAt) {
    return new SlotUse(
        running, home, homeVersion, lent, borrowed, 0, 0, nextLender, refused, againAt);
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
