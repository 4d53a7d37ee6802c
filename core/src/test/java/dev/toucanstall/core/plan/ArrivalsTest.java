package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Each test is named for the pattern of load that it brings about. */
final class ArrivalsTest {

  private static final String SERVICE = "s";
  private static final long JOB_MS = 4_000;

  /** Guards against machines that are ordered when half of a surge is over. */
  @Test
  void surgeOfLongJobsIsSeenWithinItsSecondSecond() {
    Arrivals arrivals = new Arrivals();
    for (long at = 0; at < 1_500; at += 100) {
      arrivals.add(SERVICE, new ResourceAmount(1_000, 0), JOB_MS, at);
    }
    assertThat(arrivals.rate(SERVICE, 1_500).cpu()).isAtLeast(7);
  }

  /** Guards against machines kept for a surge that is over. */
  @Test
  void surgeOfLongJobsIsForgottenSoonAfterIt() {
    Arrivals arrivals = new Arrivals();
    for (long at = 0; at < 5_000; at += 100) {
      arrivals.add(SERVICE, new ResourceAmount(1_000, 0), JOB_MS, at);
    }
    assertThat(arrivals.rate(SERVICE, 7_000).cpu()).isAtMost(2);
  }

  /** Guards against machines ordered for the half of a rising surge that a mean shows. */
  @Test
  void surgeThatRisesIsSeenAtThreeQuartersOfItsHeight() {
    Arrivals arrivals = new Arrivals();
    int jobs = 0;
    for (long at = 0; at < 1_000; at += 100) {
      jobs++;
      arrivals.add(SERVICE, new ResourceAmount(1_000 * jobs, 0), JOB_MS, at);
    }
    assertThat(arrivals.rate(SERVICE, 1_000).cpu()).isAtLeast(7.5 * jobs);
  }

  @Test
  void evenLoadAsksForWhatComes() {
    Arrivals arrivals = new Arrivals();
    for (long at = 0; at < 10_000; at += 20) {
      arrivals.add(SERVICE, new ResourceAmount(200, 0), JOB_MS, at);
    }
    assertThat(arrivals.rate(SERVICE, 10_000).cpu()).isWithin(1).of(10);
  }
}
