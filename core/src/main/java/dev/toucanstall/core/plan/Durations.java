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
  private static final double MIN_WEIGHT = 0.01;

  /** Expected duration of a task without an estimate, in milliseconds. */
  private static final long DEFAULT_DURATION_MS = 1_000;

  /** Number of fictitious initial observations of each queue, all of which ran as estimated. */
  private static final double PRIOR_OBSERVATIONS = 8;

  /** Variance of the logarithms of the initial observations. */
  private static final double PRIOR_VARIANCE = 0.25;

  /** Running linear regression over the natural logarithms of estimates and durations. */
  private static final class Regression {

    /** Number of observations, including the initial ones. */
    double observations = PRIOR_OBSERVATIONS;

    /** Mean logarithm of the estimates. */
    double meanEstimate;

    /** Mean logarithm of the durations. */
    double meanDuration;

    /** Variance of the logarithms of the estimates. */
    double estimateVariance = PRIOR_VARIANCE;

    /** Covariance of the logarithms of estimates and durations. */
    double covariance = PRIOR_VARIANCE;

    /** Variance of the logarithms of the durations. */
    double durationVariance = PRIOR_VARIANCE;

    /** Creates a regression whose initial observations are centred on an estimate's logarithm. */
    Regression(double logEstimate) {
      this.meanEstimate = logEstimate;
      this.meanDuration = logEstimate;
    }

    /**
     * Adds an observation.
     *
     * @param x the logarithm of the estimate
     * @param y the logarithm of the duration
     */
    void add(double x, double y) {
      observations++;
      double weight = Math.max(MIN_WEIGHT, 1 / observations);
      double dx = x - meanEstimate;
      double dy = y - meanDuration;
      meanEstimate += weight * dx;
      meanDuration += weight * dy;
      estimateVariance += weight * (dx * dx * (1 - weight) - estimateVariance);
      covariance += weight * (dx * dy * (1 - weight) - covariance);
      durationVariance += weight * (dy * dy * (1 - weight) - durationVariance);
    }

    /**
     * Returns the logarithm of the expected duration for the logarithm of an estimate.
     *
     * <p>Half the residual variance is added because the mean of a log-normal distribution is
     * larger than its median by that factor.
     */
    double predict(double x) {
      double slope = estimateVariance > 0 ? Math.clamp(covariance / estimateVariance, 0, 1) : 1;
      double residualVariance = Math.max(0, durationVariance - slope * covariance);
      return meanDuration + slope * (x - meanEstimate) + residualVariance / 2;
    }
  }

  /** Regressions by the name of the queue. */
  private final Map<String, Regression> regressions = new HashMap<>();

  /**
   * Adds the duration of a finished run. Does nothing without an estimate or a positive duration.
   *
   * @param queue name of the queue
   * @param step step of the task
   * @param durationMs observed duration in milliseconds
   */
  void learn(String queue, StepSpec step, long durationMs) {
    if (step.estimateMs() <= 0 || durationMs <= 0) {
      return;
    }
    double logEstimate = Math.log(step.estimateMs());
    regressions
        .computeIfAbsent(queue, q -> new Regression(logEstimate))
        .add(logEstimate, Math.log(durationMs));
  }

  /** Returns the expected duration of a task of a step, in milliseconds. */
  long expectedMs(String queue, StepSpec step) {
    if (step.estimateMs() <= 0) {
      return DEFAULT_DURATION_MS;
    }
    Regression regression = regressions.get(queue);
    return regression == null
        ? step.estimateMs()
        : Math.max(1, (long) Math.exp(regression.predict(Math.log(step.estimateMs()))));
  }
}
