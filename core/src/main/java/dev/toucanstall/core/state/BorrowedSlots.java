package dev.toucanstall.core.state;

import dev.toucanstall.core.model.MemberId;

/**
 * Slots borrowed from a peer.
 *
 * @param lender the peer
 * @param loanId the number of the question that brought them
 * @param count how many
 * @param usableUntil until when work may start under them
 */
public record BorrowedSlots(MemberId lender, long loanId, int count, long usableUntil) {}
