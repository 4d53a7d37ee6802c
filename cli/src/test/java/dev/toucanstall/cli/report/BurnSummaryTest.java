package dev.toucanstall.cli.report;

import static com.google.common.truth.Truth.assertThat;

import dev.toucanstall.wire.report.BurnCounts;
import dev.toucanstall.wire.report.BurnReport;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.Test;

final class BurnSummaryTest {

  private static BurnReport part(String instance, long total, long good, long waitMicros) {
    BurnCounts counts = new BurnCounts(total, good, Map.of("queue-full", total - good), Map.of());
    BurnReport.Window window = new BurnReport.Window(300, 60, counts);
    return new BurnReport(
        instance,
        60,
        List.of(
            new BurnReport.Line("t", "s", List.of(window), List.of(window), waits(waitMicros))));
  }

  private static String waits(long micros) {
    Histogram histogram = new Histogram(3_600_000_000L, 2);
    histogram.recordValue(micros);
    ByteBuffer buffer = ByteBuffer.allocate(histogram.getNeededByteBufferCapacity());
    int length = histogram.encodeIntoByteBuffer(buffer);
    return Base64.getEncoder().encodeToString(Arrays.copyOf(buffer.array(), length));
  }

  private static BurnSummary summary(BurnReport... parts) {
    return BurnSummary.of(
        List.of(parts),
        List.of("http://gone"),
        new TreeMap<>(Map.of("/teams/t/objective/success-ppm", "990000")),
        "",
        "");
  }

  @Test
  void countsOfInstancesAddUp() {
    BurnSummary.Window window =
        summary(part("e1", 100, 99, 10), part("e2", 100, 98, 10)).teams().get(0).windows().get(0);

    assertThat(window.total()).isEqualTo(200);
    assertThat(window.spentBy()).containsExactly("queue-full", 3L);
    assertThat(window.burnRate()).isWithin(1e-9).of(1.5);
    assertThat(window.budgetLeft()).isWithin(1e-9).of(-0.5);
  }

  @Test
  void waitsMergeByHistogram() {
    BurnSummary.Part part =
        summary(part("e1", 1, 1, 1_000), part("e2", 1, 1, 50_000)).teams().get(0);

    assertThat(part.waitP50Millis()).isWithin(0.02).of(1.0);
    assertThat(part.waitP99Millis()).isWithin(1.0).of(50.0);
  }

  @Test
  void missingInstancesAreNamed() {
    assertThat(BurnText.render(summary(part("e1", 1, 1, 1)))).contains("http://gone");
    assertThat(BurnHtml.render(summary(part("e1", 1, 1, 1)))).contains("http://gone");
  }

  @Test
  void namesAreEscapedOnThePage() {
    BurnSummary summary =
        BurnSummary.of(List.of(part("<e1>", 1, 1, 1)), List.of(), new TreeMap<>(), "", "");

    assertThat(BurnHtml.render(summary)).doesNotContain("<e1>");
  }
}
