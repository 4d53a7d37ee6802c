package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.StepSpec;
import java.util.HashMap;
import java.util.Map;

/** Learns how long tasks really run against their estimates. Owned by the control thread. */
final class Durations {

  /** Weight of a new observation. */
  private static final double SHARE = 0.1;

  /** Duration of a task without an estimate, in milliseconds. */
  private static final long UNKNOWN_MS = 1_000;

  private static final double LEAST_RATIO = 0.2;
  private static final double MOST_RATIO = 5;
  private final Map<String, Double> ratios = new HashMap<>();

  void learn(String queue, StepSpec step, long ranMs) {
    if (step.estimateMs() <= 0) {
      return;
    }
    double ratio = (double) ranMs / step.estimateMs();
    double bounded = Math.clamp(ratio, LEAST_RATIO, MOST_RATIO);
    ratios.merge(queue, bounded, (old, fresh) -> old + SHARE * (fresh - old));
  }

  long expectMs(String queue, StepSpec step) {
    if (step.estimateMs() <= 0) {
      return UNKNOWN_MS;
    }
    return (long) (step.estimateMs() * ratios.getOrDefault(queue, 1.0));
  }
}
