package dev.toucanstall.testbed.soak;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;

/** Plays a short soak with entry processes from the module's own class path. */
class SoakTest {

  private static final long SEED = 12;
  private static final long FAULT_MILLIS = 11_000;
  private static final long SETTLE_MILLIS = 30_000;

  @TempDir(cleanup = CleanupMode.ON_SUCCESS)
  Path folder;

  /**
   * Guards against a second run of a task while backend servers are cut off, and their connections
   * refused, around the loss of a planner (incident of 2026-12-05, thriftmark-lakes).
   */
  @Test
  void noTaskRunsTwiceWhilePlannersAreLostAndServersAreCutOff() throws Exception {
    SoakRun.Options options =
        new SoakRun.Options(
            SEED,
            3,
            8,
            FAULT_MILLIS,
            SETTLE_MILLIS,
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            System.getProperty("java.class.path"),
            false,
            length -> FaultPlan.of(SEED, length));
    try (SoakRun run = new SoakRun(options, folder)) {
      assertThat(run.play()).isEmpty();
    }
  }
}
