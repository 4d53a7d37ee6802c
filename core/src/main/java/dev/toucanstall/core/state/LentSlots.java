package dev.toucanstall.core.state;

import dev.toucanstall.core.model.MemberId;

/**
 * Slots lent to a peer.
 *
 * @param borrower the peer
 * @param incarnation the start of the peer that asked
 * @param loanId the peer's number of the question
 * @param count how many
 * @param reservedUntil until when they count as used unless they are returned
 */
public record LentSlots(
    MemberId borrower, long incarnation, long loanId, int count, long reservedUntil) {}
