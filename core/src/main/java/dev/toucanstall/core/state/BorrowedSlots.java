package dev.toucanstall.core.state;

import dev.toucanstall.core.model.MemberId;

/**
 * A loan of slots from a peer, as the borrower records it.
 *
 * @param lender the peer that lends
 * @param loanId id that the borrower gave the loan
 * @param count number of slots
 * @param usableUntil time until which requests may start on these slots, in nanoseconds of the
 *     monotonic clock
 */
public record BorrowedSlots(MemberId lender, long loanId, int count, long usableUntil) {}
