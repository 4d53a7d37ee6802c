package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.StepSpec;
import java.util.HashMap;
import java.util.Map;

/**
 * Predicts the duration of tasks from their estimates and from the observed durations of earlier
 * tasks of the same queue.
 *
 * <p>Each queue has a linear regression of the logarithm of the duration on the logarithm of the
 * estimate, so that poor estimates count less. Owned by the control thread.
 */
final class Durations {

  /** Least weight of a new observation, so that old observations are forgotten. */
  private static final double LEAST_SHARE = 0.01;

  /** Expected duration of a task without an estimate, in milliseconds. */
  private static final long UNKNOWN_MS = 1_000;

  /** Number of fictitious initial observations of each queue, all of which ran as estimated. */
  private static final double TRUST = 8;

  /** Variance of the logarithms of the initial observations. */
  private static final double TRUST_VARIANCE = 0.25;

  /** Running linear regression over the natural logarithms of estimates and durations. */
  private static final class Line {

    /** Number of observations, including the initial ones. */
    double weight = TRUST;

    /** Mean logarithm of the estimates. */
    double estimate;

    /** Mean logarithm of the durations. */
    double length;

    /** Variance of the logarithms of the estimates. */
    double variance = TRUST_VARIANCE;

    /** Covariance of the logarithms of estimates and durations. */
    double covariance = TRUST_VARIANCE;

    /** Variance of the logarithms of the durations. */
    double lengthVariance = TRUST_VARIANCE;

    /** Creates a regression whose initial observations are centred on an estimate's logarithm. */
    Line(double estimate) {
      this.estimate = estimate;
      this.length = estimate;
    }

    /**
     * Adds an observation.
     *
     * @param x the logarithm of the estimate
     * @param y the logarithm of the duration
     */
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

    /**
     * Returns the logarithm of the expected duration for the logarithm of an estimate.
     *
     * <p>Half the residual variance is added because the mean of a log-normal distribution is
     * larger than its median by that factor.
     */
    double at(double x) {
      double slope = variance > 0 ? Math.clamp(covariance / variance, 0, 1) : 1;
      double rest = Math.max(0, lengthVariance - slope * covariance);
      return length + slope * (x - estimate) + rest / 2;
    }
  }

  /** Regressions by the name of the queue. */
  private final Map<String, Line> lines = new HashMap<>();

  /**
   * Adds the duration of a finished run. Does nothing without an estimate or a positive duration.
   *
   * @param queue name of the queue
   * @param step step of the task
   * @param ranMs observed duration in milliseconds
   */
  void learn(String queue, StepSpec step, long ranMs) {
    if (step.estimateMs() <= 0 || ranMs <= 0) {
      return;
    }
    double estimate = Math.log(step.estimateMs());
    lines.computeIfAbsent(queue, q -> new Line(estimate)).add(estimate, Math.log(ranMs));
  }

  /** Returns the expected duration of a task of a step, in milliseconds. */
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
