package dev.toucanstall.runtime.meter;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class HistogramsByKindTest {

  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Guards against a busy control thread whose log does not tell which kinds of events it ran. */
  @Test
  void intervalNamesTheLongestDurationAndTheLargestKinds() {
    HistogramsByKind histograms = new HistogramsByKind();
    histograms.record("String", 3 * NANOS_PER_MILLI);
    histograms.record("String", 4 * NANOS_PER_MILLI);
    histograms.record("Integer", 5 * NANOS_PER_MILLI);
    assertThat(histograms.takeInterval())
        .isEqualTo(
            new HistogramsByKind.Interval(
                12 * NANOS_PER_MILLI, 5 * NANOS_PER_MILLI, "Integer", "String 7, Integer 5"));
    assertThat(histograms.takeInterval()).isEqualTo(new HistogramsByKind.Interval(0, 0, "", ""));
    assertThat(histograms.asMap().keySet()).containsExactly("Integer", "String");
  }
}
