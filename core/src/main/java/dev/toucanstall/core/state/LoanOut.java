package dev.toucanstall.core.state;

import dev.toucanstall.core.model.MemberId;

/**
 * Slots lent to a peer.
 *
 * @param to the peer
 * @param incarnation the start of the peer that asked
 * @param ask the peer's number of the question
 * @param count how many
 * @param countedUntil until when they count as used unless they are returned
 */
public record LoanOut(MemberId to, long incarnation, long ask, int count, long countedUntil) {}
