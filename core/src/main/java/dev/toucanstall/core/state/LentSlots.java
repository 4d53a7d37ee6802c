package dev.toucanstall.core.state;

import dev.toucanstall.core.model.MemberId;

/**
 * A loan of slots to a peer, as the lender records it.
 *
 * @param borrower the peer that borrows
 * @param incarnation incarnation of the borrower
 * @param loanId id that the borrower gave the loan
 * @param count number of slots
 * @param reservedUntil time until which the slots count as used unless the borrower returns them
 *     earlier, in nanoseconds of the monotonic clock
 */
public record LentSlots(
    MemberId borrower, long incarnation, long loanId, int count, long reservedUntil) {}
