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

  private static final long MINUTE = Duration.ofMinutes(1).toNanos();

  private final BurnStore store = new BurnStore("e1", 0);

  private void count(ObjectiveOutcome ending, String reason, long at) {
    store.countRequest(
        new CountRequest(new TeamId("t"), new ServiceId("s"), 1_000, true, ending, reason), at);
  }

  private BurnReport.Window window(int index, long now) {
    return store.report(now).lines().get(0).windows().get(index);
  }

  @Test
  void emptyStoreHasNoLines() {
    assertThat(store.report(MINUTE).lines()).isEmpty();
  }

  @Test
  void callersFaultsSpendNothing() {
    count(ObjectiveOutcome.GOOD, "ok", 0);
    count(ObjectiveOutcome.CALLERS_FAULT, "key-unknown", 0);

    assertThat(window(0, 1).counts().total()).isEqualTo(1);
    assertThat(window(0, 1).counts().callersFaults()).containsExactly("key-unknown", 1L);
  }

  @Test
  void lateAndBadSpendForTheirReasons() {
    count(ObjectiveOutcome.LATE, "ok", 0);
    count(ObjectiveOutcome.BAD, "queue-full", 0);

    assertThat(window(0, 1).counts().good()).isEqualTo(0);
    assertThat(window(0, 1).counts().reasons()).containsExactly("late", 1L, "queue-full", 1L);
  }

  @Test
  void shortWindowForgetsWhatTheLongOneKeeps() {
    count(ObjectiveOutcome.GOOD, "ok", 0);

    assertThat(window(0, 6 * MINUTE).counts().total()).isEqualTo(0);
    assertThat(window(1, 6 * MINUTE).counts().total()).isEqualTo(1);
  }

  @Test
  void windowSaysHowMuchOfItWasLivedThrough() {
    count(ObjectiveOutcome.GOOD, "ok", 0);

    assertThat(window(3, 6 * MINUTE).coveredSeconds()).isEqualTo(360);
  }
}
