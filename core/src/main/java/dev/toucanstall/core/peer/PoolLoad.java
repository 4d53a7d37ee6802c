package dev.toucanstall.core.peer;

import dev.toucanstall.core.model.PoolId;

/**
 * A pool's load on one entry instance.
 *
 * @param pool the pool
 * @param running requests that run
 * @param waiting requests that wait
 */
public record PoolLoad(PoolId pool, int running, int waiting) {}
