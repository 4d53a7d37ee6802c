package dev.toucanstall.core.state;

import dev.toucanstall.core.model.MemberId;

/**
 * A loan of slots from a peer, as the borrower records it.
 *
 * @param from the peer that lends
 * @param ask id that the borrower gave the loan
 * @param count number of slots
 * @param usableUntil time until which requests may start on these slots, in nanoseconds of the
 *     monotonic clock
 */
public record LoanIn(MemberId from, long ask, int count, long usableUntil) {}
