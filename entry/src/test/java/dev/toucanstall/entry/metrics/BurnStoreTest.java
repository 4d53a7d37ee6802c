package dev.toucanstall.entry.metrics;

import static com.google.common.truth.Truth.assertThat;

import dev.toucanstall.core.effect.Effect.CountRequest;
import dev.toucanstall.core.model.ObjectiveOutcome;
import dev.toucanstall.core.model.ServiceId;
import dev.toucanstall.core.model.TeamId;
import dev.toucanstall.wire.report.BurnReport;
import java.time.Duration;
import org.junit.jupiter.api.Test;

final class BurnStoreTest {

  private static final long MINUTE_NANOS = Duration.ofMinutes(1).toNanos();

  private final BurnStore store = new BurnStore("e1", 0);

  private void count(ObjectiveOutcome outcome, String reason, long nowNanos) {
    store.countRequest(
        new CountRequest(new TeamId("t"), new ServiceId("s"), 1_000, true, outcome, reason),
        nowNanos);
  }

  private BurnReport.Window window(int index, long nowNanos) {
    return store.report(nowNanos).lines().get(0).windows().get(index);
  }

  @Test
  void emptyStoreHasNoLines() {
    assertThat(store.report(MINUTE_NANOS).lines()).isEmpty();
  }

  @Test
  void callerFaultsAreNotInTotal() {
    count(ObjectiveOutcome.GOOD, "ok", 0);
    count(ObjectiveOutcome.CALLERS_FAULT, "key-unknown", 0);

    assertThat(window(0, 1).counts().total()).isEqualTo(1);
    assertThat(window(0, 1).counts().callersFaults()).containsExactly("key-unknown", 1L);
  }

  @Test
  void lateAndBadAreCountedByReason() {
    count(ObjectiveOutcome.LATE, "ok", 0);
    count(ObjectiveOutcome.BAD, "queue-full", 0);

    assertThat(window(0, 1).counts().good()).isEqualTo(0);
    assertThat(window(0, 1).counts().reasons()).containsExactly("late", 1L, "queue-full", 1L);
  }

  @Test
  void requestLeavesShortWindowFirst() {
    count(ObjectiveOutcome.GOOD, "ok", 0);

    assertThat(window(0, 6 * MINUTE_NANOS).counts().total()).isEqualTo(0);
    assertThat(window(1, 6 * MINUTE_NANOS).counts().total()).isEqualTo(1);
  }

  @Test
  void windowReportsCoveredSeconds() {
    count(ObjectiveOutcome.GOOD, "ok", 0);

    assertThat(window(3, 6 * MINUTE_NANOS).coveredSeconds()).isEqualTo(360);
  }
}
