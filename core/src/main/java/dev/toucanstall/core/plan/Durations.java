package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.StepSpec;
import java.util.HashMap;
import java.util.Map;

/**
 * Learns how long the tasks of a queue really run, and how far their estimates tell: a straight
 * line through the logarithms of both. Owned by the control thread.
 */
final class Durations {

  /** Weight of a new observation once there are many. */
  private static final double LEAST_SHARE = 0.01;

  /** Duration of a task without an estimate, in milliseconds. */
  private static final long UNKNOWN_MS = 1_000;

  /** How many tasks that ran as estimated each queue is taken to begin with. */
  private static final double TRUST = 8;

  /** Deviation of their logarithms. */
  private static final double TRUST_VARIANCE = 0.25;

  /** Logarithms of estimates and lengths: means, variance of the estimates, covariance. */
  private static final class Line {

    double weight = TRUST;
    double estimate;
    double length;
    double variance = TRUST_VARIANCE;
    double covariance = TRUST_VARIANCE;
    double lengthVariance = TRUST_VARIANCE;

    Line(double estimate) {
      this.estimate = estimate;
      this.length = estimate;
    }

    void add(double x, double y) {
      weight++;
      double share = Math.max(LEAST_SHARE, 1 / weight);
      double dx = x - estimate;
      double dy = y - length;
      estimate += share * dx;
      length += share * dy;
      variance += share * (dx * dx * (1 - share) - variance);
      covariance += share * (dx * dy * (1 - share) - covariance);
      lengthVariance += share * (dy * dy * (1 - share) - lengthVariance);
    }

    double at(double x) {
      double slope = variance > 0 ? Math.clamp(covariance / variance, 0, 1) : 1;
      double rest = Math.max(0, lengthVariance - slope * covariance);
      return length + slope * (x - estimate) + rest / 2;
    }
  }

  private final Map<String, Line> lines = new HashMap<>();

  void learn(String queue, StepSpec step, long ranMs) {
    if (step.estimateMs() <= 0 || ranMs <= 0) {
      return;
    }
    double estimate = Math.log(step.estimateMs());
    lines.computeIfAbsent(queue, q -> new Line(estimate)).add(estimate, Math.log(ranMs));
  }

  long expectedMs(String queue, StepSpec step) {
    if (step.estimateMs() <= 0) {
      return UNKNOWN_MS;
    }
    Line line = lines.get(queue);
    return line == null
        ? step.estimateMs()
        : Math.max(1, (long) Math.exp(line.at(Math.log(step.estimateMs()))));
  }
}
