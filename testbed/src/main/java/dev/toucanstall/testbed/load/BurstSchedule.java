package dev.toucanstall.testbed.load;

import java.time.Duration;

/**
 * How the rate of streams changes over time. With bursts, each stream in turn asks five times its
 * mean for some seconds and a twentieth of it in between.
 *
 * @param enabled whether there are bursts
 * @param length how long a burst lasts
 */
record BurstSchedule(boolean enabled, Duration length) {

  private static final double BURST_FACTOR = 5;
  private static final double IDLE_FACTOR = 0.05;

  /** Returns the factor to the mean rate of a stream at a time since the start. */
  double rateFactor(int stream, int streamCount, long sinceStart) {
    if (!enabled) {
      return 1;
    }
    long burstNumber = sinceStart / length.toNanos();
    return burstNumber % streamCount == stream ? BURST_FACTOR : IDLE_FACTOR;
  }
}
