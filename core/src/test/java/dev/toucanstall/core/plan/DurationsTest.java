package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertThat;

import dev.toucanstall.core.job.Resources;
import dev.toucanstall.core.job.StepSpec;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests {@link Durations}. The name of each test says which estimates it simulates. */
final class DurationsTest {

  private static final String QUEUE = "q";

  /**
   * Jobs that are simulated; the totals leave out the first quarter, from which the model learns.
   */
  private static final int JOBS = 400;

  private static final int TASK_COUNT = 8;

  private static StepSpec step(long estimateMs) {
    Resources need = new Resources(1_000, 100, 0);
    return new StepSpec(
        TASK_COUNT,
        need,
        estimateMs,
        List.of(),
        false,
        false,
        false,
        "",
        "",
        0,
        false,
        false,
        "",
        0,
        false,
        0);
  }

  /**
   * Totals over the jobs.
   *
   * @param actual actual lengths, in milliseconds
   * @param expected expected lengths, in milliseconds
   * @param misestimatedShare share of the jobs whose expected length is wrong by more than a factor
   *     of two, from 0 to 1
   */
  private record Totals(double actual, double expected, double misestimatedShare) {}

  /**
   * Simulates jobs with random lengths and estimates.
   *
   * @param lengthDeviation standard deviation of the logarithm of the lengths
   * @param estimateDeviation standard deviation of the logarithm of an estimate relative to the
   *     length
   * @return the totals
   */
  private static Totals simulate(double lengthDeviation, double estimateDeviation) {
    Random random = new Random(1);
    Durations durations = new Durations();
    double actual = 0;
    double expected = 0;
    double misestimated = 0;
    for (int i = 0; i < JOBS; i++) {
      long lengthMs = (long) (800 * Math.exp(lengthDeviation * random.nextGaussian()));
      StepSpec step =
          step(
              Math.max(1, (long) (lengthMs * Math.exp(estimateDeviation * random.nextGaussian()))));
      if (i >= JOBS / 4) {
        long expectedMs = durations.expectedMs(QUEUE, step);
        actual += lengthMs;
        expected += expectedMs;
        misestimated += Math.abs(Math.log((double) expectedMs / lengthMs)) > Math.log(2) ? 1 : 0;
      }
      for (int t = 0; t < TASK_COUNT; t++) {
        durations.learn(QUEUE, step, lengthMs);
      }
    }
    return new Totals(actual, expected, misestimated / (JOBS * 3 / 4));
  }

  /** Guards against machines that are ordered for estimates that are too long on average. */
  @Test
  void inaccurateEstimatesDoNotInflateWork() {
    Totals totals = simulate(0.5, 0.9);
    assertThat(totals.expected / totals.actual).isWithin(0.15).of(1);
  }

  /** Guards against an order of jobs that follows estimates with little information. */
  @Test
  void inaccurateEstimatesWeighLess() {
    assertThat(simulate(0.5, 0.9).misestimatedShare).isAtMost(0.25);
  }

  @Test
  void accurateEstimatesAreFollowed() {
    assertThat(simulate(0.8, 0.1).misestimatedShare).isAtMost(0.02);
  }

  @Test
  void queueWithoutHistoryUsesEstimate() {
    assertThat(new Durations().expectedMs(QUEUE, step(300))).isEqualTo(300);
  }
}
