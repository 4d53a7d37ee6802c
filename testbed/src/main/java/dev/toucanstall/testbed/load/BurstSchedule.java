package dev.toucanstall.testbed.load;

import java.time.Duration;

/**
 * Schedule of bursts. Streams take turns: the one whose turn it is sends at five times its mean
 * rate, the others at a twentieth of it.
 *
 * @param enabled whether there are bursts; without them the rate is constant
 * @param length length of a burst
 */
record BurstSchedule(boolean enabled, Duration length) {

  private static final double BURST_FACTOR = 5;
  private static final double IDLE_FACTOR = 0.05;

  /** Returns the factor of a stream's mean rate, {@code sinceStart} nanoseconds into the run. */
  double rateFactor(int stream, int streamCount, long sinceStart) {
    if (!enabled) {
      return 1;
    }
    long burstNumber = sinceStart / length.toNanos();
    return burstNumber % streamCount == stream ? BURST_FACTOR : IDLE_FACTOR;
  }
}
