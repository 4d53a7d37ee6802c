package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.api.Test;

/** Each test is named for the pattern of load that it brings about. */
final class TurnsTest {

  /** Part of a deployment of full size that is played. */
  private static final double SIZE = 0.25;

  private static final double HALF = 0.5;

  private static final long LEAD_MS = 15_000;

  /** Time of two turns of each queue, in milliseconds. */
  private static final long TWO_ROUNDS_MS = 32_000;

  /** Time of one turn of each queue and the beginning of the next, in milliseconds. */
  private static final long ROUND_MS = 30_000;

  /** Time until the last jobs have ended, in milliseconds. */
  private static final long LAST_JOBS_MS = 20_000;

  private static TurnsWorld played(long seed, double size, long forMs) {
    TurnsWorld turns = new TurnsWorld(seed, size);
    turns.idle(LEAD_MS);
    turns.turns(forMs);
    return turns;
  }

  /** Guards against a machine on its way being ordered elsewhere, which ends the tasks it gets. */
  @Test
  void moveEndsNoTaskWhileQueuesSurgeInTurn() {
    for (long seed = 1; seed <= 3; seed++) {
      TurnsWorld turns = played(seed, SIZE, TWO_ROUNDS_MS);
      assertWithMessage("seed %s", seed).that(turns.world.broken).isEmpty();
    }
  }

  /** Guards against machines that come when a surge is over, or go before it. */
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
