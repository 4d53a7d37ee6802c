package dev.toucanstall.runtime.meter;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class DurationHistogramTest {

  private final DurationHistogram histogram = new DurationHistogram();

  @Test
  void cumulativeCountExcludesDurationsAtTheUpperBound() {
    histogram.record(0);
    histogram.record(999);
    histogram.record(1_000);
    histogram.record(1_999_999);
    histogram.record(Long.MAX_VALUE);
    assertThat(histogram.cumulativeCount(0)).isEqualTo(2);
    assertThat(DurationHistogram.upperBoundSeconds(0)).isEqualTo(1e-6);
    assertThat(histogram.cumulativeCount(1)).isEqualTo(3);
    assertThat(histogram.cumulativeCount(11)).isEqualTo(4);
    assertThat(DurationHistogram.upperBoundSeconds(11)).isEqualTo(0.002_048);
    assertThat(histogram.cumulativeCount(DurationHistogram.BUCKET_COUNT - 1)).isEqualTo(5);
    assertThat(DurationHistogram.upperBoundSeconds(DurationHistogram.BUCKET_COUNT - 1))
        .isPositiveInfinity();
    assertThat(histogram.count()).isEqualTo(5);
  }

  @Test
  void intervalContainsOnlyDurationsSinceTheLastCall() {
    histogram.record(4_000);
    histogram.record(2_000);
    assertThat(histogram.takeInterval()).isEqualTo(new DurationHistogram.Interval(2, 6_000, 4_000));
    histogram.record(3_000);
    assertThat(histogram.takeInterval()).isEqualTo(new DurationHistogram.Interval(1, 3_000, 3_000));
    assertThat(histogram.takeInterval()).isEqualTo(new DurationHistogram.Interval(0, 0, 0));
    assertThat(histogram.totalSeconds()).isWithin(1e-12).of(9e-6);
  }

  @Test
  void negativeDurationCountsAsZero() {
    histogram.record(-5);
    assertThat(histogram.takeInterval()).isEqualTo(new DurationHistogram.Interval(1, 0, 0));
  }
}
