package dev.toucanstall.testbed.load;

import java.time.Duration;

/**
 * How the rate of streams changes over time. With bursts, each stream in turn asks five times its
 * mean for some seconds and a twentieth of it in between.
 *
 * @param bursts whether there are bursts
 * @param burst how long a burst lasts
 */
record Phases(boolean bursts, Duration burst) {

  private static final double BURST_FACTOR = 5;
  private static final double CALM_FACTOR = 0.05;

  /** Returns the factor to the mean rate of a stream at a time since the start. */
  double factor(int stream, int count, long sinceStart) {
    if (!bursts) {
      return 1;
    }
    long turn = sinceStart / burst.toNanos();
    return turn % count == stream ? BURST_FACTOR : CALM_FACTOR;
  }
}
