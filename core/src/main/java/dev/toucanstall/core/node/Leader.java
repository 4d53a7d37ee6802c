package dev.toucanstall.core.node;

import dev.toucanstall.core.model.Address;

/**
 * The entry instance that plans. Immutable.
 *
 * @param epoch its fencing token
 * @param member its name
 * @param address where other entry instances reach it
 */
public record Leader(long epoch, String member, Address address) {}
