package dev.toucanstall.runtime.meter;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class HistogramsByKindTest {

  private static final long MS = 1_000_000;

  /** Guards against a control thread that is busy with nobody knowing with what. */
  @Test
  void recentNamesTheLongestAndTheKindsThatTookMost() {
    HistogramsByKind meters = new HistogramsByKind();
    meters.record("String", 3 * MS);
    meters.record("String", 4 * MS);
    meters.record("Integer", 5 * MS);
    assertThat(meters.takeInterval())
        .isEqualTo(
            new HistogramsByKind.Interval(12 * MS, 5 * MS, "Integer", "String 7, Integer 5"));
    assertThat(meters.takeInterval()).isEqualTo(new HistogramsByKind.Interval(0, 0, "", ""));
    assertThat(meters.asMap().keySet()).containsExactly("Integer", "String");
  }
}
