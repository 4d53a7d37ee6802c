package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.api.Test;

/** Each test is named for the pattern of load that it brings about. */
final class TurnsTest {

  /** Part of a deployment of full size that is played. */
  private static final double SIZE = 0.25;

  private static final long LEAD_MS = 15_000;

  /** Time of two turns of each queue, in milliseconds. */
  private static final long TWO_ROUNDS_MS = 32_000;

  private static TurnsWorld played(long seed, long forMs) {
    TurnsWorld turns = new TurnsWorld(seed, SIZE);
    turns.idle(LEAD_MS);
    turns.turns(forMs);
    return turns;
  }

  /** Guards against a machine on its way being ordered elsewhere, which ends the tasks it gets. */
  @Test
  void moveEndsNoTaskWhileQueuesSurgeInTurn() {
    for (long seed = 1; seed <= 3; seed++) {
      TurnsWorld turns = played(seed, TWO_ROUNDS_MS);
      assertWithMessage("seed %s", seed).that(turns.world.broken).isEmpty();
    }
  }
}
