package dev.toucanstall.core.settings;

import dev.toucanstall.core.model.PoolId;
import dev.toucanstall.core.model.WaveId;

/**
 * A maintenance wave that restarts every instance of a pool.
 *
 * @param id the wave
 * @param pool the pool that it visits
 * @param running whether it goes on; false while paused
 * @param maxParallel the most instances that it drains at once
 */
public record Wave(WaveId id, PoolId pool, boolean running, int maxParallel) {}
