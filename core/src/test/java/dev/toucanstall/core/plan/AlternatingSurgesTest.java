package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.api.Test;

/** Tests the planner while queues surge in turn. The name of each test says what must hold. */
final class AlternatingSurgesTest {

  /** Part of a full-size deployment that is simulated to find violated invariants. */
  private static final double INVARIANTS_SIZE = 0.25;

  /** Part of a full-size deployment that is simulated to measure the value earned. */
  private static final double VALUE_SIZE = 0.5;

  private static final long IDLE_MS = 15_000;

  /** Time of two surges of each queue, in milliseconds. */
  private static final long TWO_ROUNDS_MS = 32_000;

  /** Time of one surge of each queue and the beginning of the next, in milliseconds. */
  private static final long ROUND_MS = 30_000;

  private static final long COMPLETION_MS = 20_000;

  private static AlternatingSurges simulate(long seed, double size, long durationMs) {
    AlternatingSurges surges = new AlternatingSurges(seed, size);
    surges.runIdle(IDLE_MS);
    surges.runSurges(durationMs);
    return surges;
  }

  /**
   * Guards against a machine on its way to a pool that is ordered to another one, which ends the
   * tasks that it gets.
   */
  @Test
  void moveEndsNoTaskWhileQueuesSurgeInTurn() {
    for (long seed = 1; seed <= 3; seed++) {
      AlternatingSurges surges = simulate(seed, INVARIANTS_SIZE, TWO_ROUNDS_MS);
      assertWithMessage("seed %s", seed).that(surges.sim.violations).isEmpty();
    }
  }

  /** Guards against machines that arrive when a surge is over, or leave before it. */
  @Test
  void queuesSurgingInTurnAreServedInTime() {
    double meanEarnedShare = 0;
    for (long seed = 1; seed <= 2; seed++) {
      AlternatingSurges surges = simulate(seed, VALUE_SIZE, ROUND_MS);
      surges.runIdle(COMPLETION_MS);
      meanEarnedShare += surges.earnedShare() / 2;
    }
    assertThat(meanEarnedShare).isAtLeast(0.92);
  }
}
