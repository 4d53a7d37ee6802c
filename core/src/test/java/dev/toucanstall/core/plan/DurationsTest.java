package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertThat;

import dev.toucanstall.core.job.Resources;
import dev.toucanstall.core.job.StepSpec;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Each test is named for the pattern of estimates that it brings about. */
final class DurationsTest {

  private static final String QUEUE = "q";
  private static final int JOBS = 400;
  private static final int TASKS = 8;

  private static StepSpec step(long estimateMs) {
    Resources need = new Resources(1_000, 100, 0);
    return new StepSpec(
        TASKS,
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

  /** Totals over jobs whose lengths and estimates scatter about the truth and about each other. */
  private record Totals(double truth, double expected, double farOff) {}

  private static Totals play(double spread, double error) {
    Random random = new Random(1);
    Durations durations = new Durations();
    double truth = 0;
    double expected = 0;
    double farOff = 0;
    for (int i = 0; i < JOBS; i++) {
      long length = (long) (800 * Math.exp(spread * random.nextGaussian()));
      StepSpec step = step(Math.max(1, (long) (length * Math.exp(error * random.nextGaussian()))));
      if (i >= JOBS / 4) {
        long expects = durations.expectedMs(QUEUE, step);
        truth += length;
        expected += expects;
        farOff += Math.abs(Math.log((double) expects / length)) > Math.log(2) ? 1 : 0;
      }
      for (int t = 0; t < TASKS; t++) {
        durations.learn(QUEUE, step, length);
      }
    }
    return new Totals(truth, expected, farOff / (JOBS * 3 / 4));
  }

  /** Guards against machines asked for by estimates that are too long on the average. */
  @Test
  void roughEstimatesDoNotInflateTheWork() {
    Totals totals = play(0.5, 0.9);
    assertThat(totals.expected / totals.truth).isWithin(0.15).of(1);
  }

  /** Guards against an order of jobs by estimates that tell little. */
  @Test
  void roughEstimatesCountLess() {
    assertThat(play(0.5, 0.9).farOff).isAtMost(0.25);
  }

  @Test
  void goodEstimatesAreFollowed() {
    assertThat(play(0.8, 0.1).farOff).isAtMost(0.02);
  }

  @Test
  void queueWithoutHistoryFollowsItsEstimates() {
    assertThat(new Durations().expectedMs(QUEUE, step(300))).isEqualTo(300);
  }
}
