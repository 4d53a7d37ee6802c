package dev.toucanstall.core.state;

import dev.toucanstall.core.model.MemberId;

/**
 * Slots borrowed from a peer.
 *
 * @param from the peer
 * @param ask the number of the question that brought them
 * @param count how many
 * @param usableUntil until when work may start under them
 */
public record LoanIn(MemberId from, long ask, int count, long usableUntil) {}
