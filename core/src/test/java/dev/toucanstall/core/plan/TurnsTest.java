package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.api.Test;

/** Tests the planner while queues surge in turn. The name of each test says what must hold. */
final class TurnsTest {

  /** Part of a full-size deployment that is simulated to find violated invariants. */
  private static final double SIZE = 0.25;

  /** Part of a full-size deployment that is simulated to measure the value earned. */
  private static final double HALF = 0.5;

  /** Time before the first surge, in milliseconds. */
  private static final long LEAD_MS = 15_000;

  /** Time of two surges of each queue, in milliseconds. */
  private static final long TWO_ROUNDS_MS = 32_000;

  /** Time of one surge of each queue and the beginning of the next, in milliseconds. */
  private static final long ROUND_MS = 30_000;

  /** Time after the surges in which the last jobs complete, in milliseconds. */
  private static final long LAST_JOBS_MS = 20_000;

  /**
   * Simulates surges.
   *
   * @param seed seed of the random numbers
   * @param size part of a full-size deployment
   * @param forMs time of the surges, in milliseconds
   * @return the simulation at their end
   */
  private static TurnsWorld played(long seed, double size, long forMs) {
    TurnsWorld turns = new TurnsWorld(seed, size);
    turns.idle(LEAD_MS);
    turns.turns(forMs);
    return turns;
  }

  /**
   * Guards against a machine on its way to a pool that is ordered to another one, which ends the
   * tasks that it gets.
   */
  @Test
  void moveEndsNoTaskWhileQueuesSurgeInTurn() {
    for (long seed = 1; seed <= 3; seed++) {
      TurnsWorld turns = played(seed, SIZE, TWO_ROUNDS_MS);
      assertWithMessage("seed %s", seed).that(turns.world.broken).isEmpty();
    }
  }

  /** Guards against machines that arrive when a surge is over, or leave before it. */
  @Test
  void queuesThatSurgeInTurnAreServedInTime() {
    double earned = 0;
    for (long seed = 1; seed <= 2; seed++) {
      TurnsWorld turns = played(seed, HALF, ROUND_MS);
      turns.idle(LAST_JOBS_MS);
      earned += turns.earnedPart() / 2;
    }
    assertThat(earned).isAtLeast(0.92);
  }
}
