package dev.toucanstall.core.settings;

import dev.toucanstall.core.model.PoolId;
import dev.toucanstall.core.model.WaveId;

/**
 * A maintenance wave, which restarts every instance of a pool. Immutable.
 *
 * @param id name of the wave
 * @param pool pool whose instances are restarted
 * @param running false while the wave is paused
 * @param maxParallel maximum number of instances that the wave drains at once
 */
public record Wave(WaveId id, PoolId pool, boolean running, int maxParallel) {}
