package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests what counts as a confirmation of the planner's fencing token by the store. */
final class LedgerTest {

  private static final long START_MS = 1_000_000;
  private static final long NEVER_MS = Long.MIN_VALUE / 2;

  private final Ledger ledger = new Ledger(7, 1, START_MS, 1_000_000);
  private final List<PlanEffect> effects = new ArrayList<>();

  private static Now at(long steadyMs) {
    return new Now(steadyMs, 5_000_000);
  }

  private void flush(long nowMs) {
    ledger.flush(at(nowMs), effects::add);
  }

  /** Reports the result of the newest append. */
  private void appended(long sentMs, long nowMs, StoreResult result) {
    long sequence = ((PlanEffect.Append) effects.getLast()).sequence();
    ledger.appendEnded(new PlanEvent.Appended(sequence, sentMs, result), at(nowMs), effects::add);
  }

  /**
   * Guards against a planner that acts on a permission that ran out while its machine was
   * suspended: the answer to an append of before looks as recent as the clock that stood still.
   */
  @Test
  void appendSentBeforeSuspensionConfirmsNothing() {
    flush(START_MS + 700);
    ledger.requireReconfirmation();
    appended(START_MS + 700, START_MS + 701, StoreResult.DONE);
    assertThat(ledger.confirmedMs()).isEqualTo(NEVER_MS);
  }

  /** Guards against a planner that waits for its next idle confirmation after a suspension. */
  @Test
  void anotherAppendIsSentAtOnceAndConfirms() {
    flush(START_MS + 700);
    ledger.requireReconfirmation();
    appended(START_MS + 700, START_MS + 701, StoreResult.DONE);
    flush(START_MS + 701);
    assertThat(effects).hasSize(2);
    appended(START_MS + 702, START_MS + 710, StoreResult.DONE);
    assertThat(ledger.confirmedMs()).isEqualTo(START_MS + 702);
  }

  /**
   * Guards against the late answer to the first attempt of an append that is repeated after a
   * suspension.
   */
  @Test
  void repeatedAppendConfirmsOnlyByTheAttemptAfterTheSuspension() {
    flush(START_MS + 700);
    ledger.requireReconfirmation();
    appended(START_MS + 700, START_MS + 701, StoreResult.MAYBE);
    flush(START_MS + 801);
    assertThat(effects).hasSize(2);
    appended(START_MS + 700, START_MS + 802, StoreResult.DONE);
    assertThat(ledger.confirmedMs()).isEqualTo(NEVER_MS);
  }

  /** Guards against a confirmation of before and after a suspension in one millisecond. */
  @Test
  void appendSentInTheMillisecondOfTheSuspensionConfirmsNothing() {
    flush(START_MS + 700);
    ledger.requireReconfirmation();
    appended(START_MS + 700, START_MS + 700, StoreResult.MAYBE);
    flush(START_MS + 800);
    appended(START_MS + 800, START_MS + 801, StoreResult.DONE);
    assertThat(ledger.confirmedMs()).isEqualTo(NEVER_MS);
    flush(START_MS + 801);
    assertThat(effects).hasSize(3);
  }
}
