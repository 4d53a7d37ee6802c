package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Tests {@link Arrivals}. The name of each test says which arrivals it simulates. */
final class ArrivalsTest {

  private static final String SERVICE = "s";
  private static final long JOB_MS = 4_000;

  /** Guards against machines that are ordered only when half of a surge is over. */
  @Test
  void rateRisesWithinSecondSecondOfSurge() {
    Arrivals arrivals = new Arrivals();
    for (long nowMs = 0; nowMs < 1_500; nowMs += 100) {
      arrivals.add(SERVICE, new ResourceAmount(1_000, 0), JOB_MS, nowMs);
    }
    assertThat(arrivals.rate(SERVICE, 1_500).cpu()).isAtLeast(7);
  }

  /** Guards against machines that are retained for a surge that is over. */
  @Test
  void rateFallsSoonAfterSurge() {
    Arrivals arrivals = new Arrivals();
    for (long nowMs = 0; nowMs < 5_000; nowMs += 100) {
      arrivals.add(SERVICE, new ResourceAmount(1_000, 0), JOB_MS, nowMs);
    }
    assertThat(arrivals.rate(SERVICE, 7_000).cpu()).isAtMost(2);
  }

  /** Guards against machines for only half of a rising surge, as a plain mean shows it. */
  @Test
  void rateOfRisingSurgeReachesThreeQuartersOfItsPeak() {
    Arrivals arrivals = new Arrivals();
    int jobs = 0;
    for (long nowMs = 0; nowMs < 1_000; nowMs += 100) {
      jobs++;
      arrivals.add(SERVICE, new ResourceAmount(1_000 * jobs, 0), JOB_MS, nowMs);
    }
    assertThat(arrivals.rate(SERVICE, 1_000).cpu()).isAtLeast(7.5 * jobs);
  }

  @Test
  void rateOfConstantLoadEqualsLoad() {
    Arrivals arrivals = new Arrivals();
    for (long nowMs = 0; nowMs < 10_000; nowMs += 20) {
      arrivals.add(SERVICE, new ResourceAmount(200, 0), JOB_MS, nowMs);
    }
    assertThat(arrivals.rate(SERVICE, 10_000).cpu()).isWithin(1).of(10);
  }
}
