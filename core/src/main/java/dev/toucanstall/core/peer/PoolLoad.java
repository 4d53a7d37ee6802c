package dev.toucanstall.core.peer;

import dev.toucanstall.core.model.PoolId;

/**
 * Load of a pool on one entry instance. Encoded with its component names.
 *
 * @param pool the pool
 * @param running number of running requests
 * @param waiting number of waiting requests
 */
public record PoolLoad(PoolId pool, int running, int waiting) {}
