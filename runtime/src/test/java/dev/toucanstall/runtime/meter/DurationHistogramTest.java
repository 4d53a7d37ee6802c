package dev.toucanstall.runtime.meter;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class DurationHistogramTest {

  private final DurationHistogram meter = new DurationHistogram();

  @Test
  void durationsAreCountedBelowTheBoundThatTheyDoNotReach() {
    meter.record(0);
    meter.record(999);
    meter.record(1_000);
    meter.record(1_999_999);
    meter.record(Long.MAX_VALUE);
    assertThat(meter.cumulativeCount(0)).isEqualTo(2);
    assertThat(DurationHistogram.upperBoundSeconds(0)).isEqualTo(1e-6);
    assertThat(meter.cumulativeCount(1)).isEqualTo(3);
    assertThat(meter.cumulativeCount(11)).isEqualTo(4);
    assertThat(DurationHistogram.upperBoundSeconds(11)).isEqualTo(0.002_048);
    assertThat(meter.cumulativeCount(DurationHistogram.BUCKET_COUNT - 1)).isEqualTo(5);
    assertThat(DurationHistogram.upperBoundSeconds(DurationHistogram.BUCKET_COUNT - 1))
        .isPositiveInfinity();
    assertThat(meter.count()).isEqualTo(5);
  }

  @Test
  void recentHoldsOnlyWhatCameSinceTheLastLook() {
    meter.record(4_000);
    meter.record(2_000);
    assertThat(meter.takeInterval()).isEqualTo(new DurationHistogram.Interval(2, 6_000, 4_000));
    meter.record(3_000);
    assertThat(meter.takeInterval()).isEqualTo(new DurationHistogram.Interval(1, 3_000, 3_000));
    assertThat(meter.takeInterval()).isEqualTo(new DurationHistogram.Interval(0, 0, 0));
    assertThat(meter.totalSeconds()).isWithin(1e-12).of(9e-6);
  }

  @Test
  void durationBelowZeroCountsAsNone() {
    meter.record(-5);
    assertThat(meter.takeInterval()).isEqualTo(new DurationHistogram.Interval(1, 0, 0));
  }
}
