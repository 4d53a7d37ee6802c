package dev.toucanstall.core.node;

import dev.toucanstall.core.model.Address;

/**
 * The planner as named by the store: the entry instance that schedules all jobs. Immutable.
 *
 * @param epoch number of its term, which is also its fencing token; each planner has a higher one
 * @param member name of the entry instance
 * @param address address at which other entry instances connect to it
 */
public record Leader(long epoch, String member, Address address) {}
