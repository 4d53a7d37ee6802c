package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests the planner under the load of a large deployment. */
final class LargeDeploymentTest {

  /**
   * Share of the owed value that the users require on a day at this size; required here of the
   * short jobs that are completed while they still count.
   */
  private static final double MIN_COMPLETED_SHARE = 0.49;

  /**
   * Mean value that the users require of a day at this size; required here of the share of the
   * short jobs that meet their objective.
   */
  private static final double MIN_IN_TIME_SHARE = 0.55;

  /** Length of the windows that are judged separately, in milliseconds. */
  private static final long WINDOW_MS = 2_000;

  private static final ProcessingTime PROCESSING_TIME = new ProcessingTime(500, 2_300);
  private static final long STARTUP_MS = 6_000;

  /** Time after the surges in which the last jobs can complete, in milliseconds. */
  private static final long COMPLETION_MS = 12_000;

  /** Time within which a large entry instance must become the planner, in milliseconds. */
  private static final long HANDOVER_MS = 6_000;

  /**
   * Longest time that a lasting task may be without a run while there is free capacity, in
   * milliseconds.
   */
  private static final long MAX_OUTAGE_MS = 3_000;

  private static final double LARGE_CORES = 0.75;
  private static final int LARGEST_INSTANCES = 4;
  private static final int LARGE_INSTANCES = 4;
  private static final int SMALL_INSTANCES = 26;

  /**
   * Returns a deployment with 34 entry instances of three sizes, whose group names one of the
   * smallest as candidate for planner.
   */
  private static LargeDeployment largeDeployment(long seed) {
    LargeDeployment deployment = new LargeDeployment(seed);
    deployment.sim.processingTime = PROCESSING_TIME;
    IntStream.range(0, SMALL_INSTANCES).forEach(i -> deployment.sim.startInstance(0.36));
    IntStream.range(0, LARGE_INSTANCES).forEach(i -> deployment.sim.startInstance(LARGE_CORES));
    IntStream.range(0, LARGEST_INSTANCES).forEach(i -> deployment.sim.startInstance(1.5));
    deployment.sim.setGroupCandidate(deployment.sim.instances.getFirst());
    return deployment;
  }

  /** Guards against a planner whose events wait so long that calls expire. */
  @Test
  void surgesAreServedWhileGroupNamesSmallestInstance() {
    LargeDeployment deployment = largeDeployment(1);
    deployment.startLastingJobs(STARTUP_MS);
    deployment.runSurges(2 * LargeDeployment.SURGE_MS, 2);
    deployment.sim.run(COMPLETION_MS);
    assertWithMessage("completed, %s", deployment.summary())
        .that(deployment.completedShare())
        .isAtLeast(MIN_COMPLETED_SHARE);
    assertWithMessage("calls expired").that(deployment.logEventCount("call-expired")).isEqualTo(0);
    assertWithMessage("violated invariants").that(deployment.sim.platform.violations).isEmpty();
  }

  /**
   * Guards against lasting tasks that stay without a run, and so are lost to their users, because
   * the planner lags though there is free capacity.
   */
  @Test
  void lastingTaskRestartsSoonWhileGroupNamesSmallestInstance() {
    LargeDeployment deployment = largeDeployment(1);
    deployment.startLastingJobs(STARTUP_MS);
    deployment.orderWave(LargeDeployment.SURGE_MS);
    deployment.runSurges(2 * LargeDeployment.SURGE_MS, 0);
    deployment.sim.run(COMPLETION_MS);
    assertWithMessage("longest time without a run in ms, %s", deployment.summary())
        .that(deployment.sim.platform.availability.longestOutageMs(deployment.sim.nowMs()))
        .isAtMost(MAX_OUTAGE_MS);
  }

  /** Guards against a planner on the smallest instance while much larger ones are on standby. */
  @Test
  void largeInstancePlansWhileGroupNamesSmallest() {
    LargeDeployment deployment = largeDeployment(1);
    deployment.sim.run(HANDOVER_MS);
    assertLargeInstancePlans(deployment);
    deployment.sim.startInstance(0.36);
    deployment.sim.instances.get(1).terminate();
    deployment.sim.setGroupCandidate(deployment.sim.instances.get(2));
    deployment.sim.run(HANDOVER_MS);
    assertLargeInstancePlans(deployment);
    final int elections = deployment.logEventCount("planner-elected");
    deployment.sim.restartInstance(deployment.sim.instances.get(1));
    deployment.sim.run(HANDOVER_MS);
    assertLargeInstancePlans(deployment);
    assertWithMessage("elections")
        .that(deployment.logEventCount("planner-elected"))
        .isEqualTo(elections);
  }

  private static void assertLargeInstancePlans(LargeDeployment deployment) {
    SimulatedInstance planner = deployment.sim.planner();
    assertWithMessage("CPU cores of the planner's instance")
        .that(planner == null ? 0 : planner.cores)
        .isAtLeast(LARGE_CORES);
  }

  /**
   * Guards against jobs that miss their objective because machines arrive late or are moved twice.
   */
  @Test
  void firstSurgesMeetObjectivesWhileMachineListsAreDelayed() {
    LargeDeployment deployment = new LargeDeployment(1);
    IntStream.range(0, LARGEST_INSTANCES).forEach(i -> deployment.sim.startInstance(1.5));
    deployment.sim.platform.machineListDelayMs = 800;
    deployment.sim.platform.maxMovesPerSecond = 42;
    deployment.startLastingJobs(STARTUP_MS);
    deployment.orderWave(LargeDeployment.SURGE_MS);
    deployment.runSurges(3 * LargeDeployment.SURGE_MS, 0);
    deployment.sim.run(COMPLETION_MS);
    for (long fromMs = LargeDeployment.SURGE_MS;
        fromMs < 3 * LargeDeployment.SURGE_MS;
        fromMs += WINDOW_MS) {
      double inTimeShare = deployment.completedShare(1, fromMs, fromMs + WINDOW_MS);
      assertWithMessage("in time from %s ms, %s", fromMs, deployment.summary())
          .that(inTimeShare)
          .isAtLeast(MIN_IN_TIME_SHARE);
    }
    assertWithMessage("violated invariants").that(deployment.sim.platform.violations).isEmpty();
  }

  /**
   * Guards against jobs that miss their objective because machines of a maintenance wave can't be
   * moved.
   */
  @Test
  void firstSurgesMeetObjectivesWhileHalfOfMachinesAreMaintained() {
    LargeDeployment deployment = new LargeDeployment(1);
    IntStream.range(0, LARGEST_INSTANCES).forEach(i -> deployment.sim.startInstance(1.5));
    deployment.startLastingJobs(STARTUP_MS);
    deployment.orderWave(LargeDeployment.SURGE_MS);
    deployment.runSurges(3 * LargeDeployment.SURGE_MS, 0);
    deployment.sim.run(COMPLETION_MS);
    double inTimeShare =
        deployment.completedShare(1, LargeDeployment.SURGE_MS, 3 * LargeDeployment.SURGE_MS);
    assertWithMessage("in time, %s", deployment.summary())
        .that(inTimeShare)
        .isAtLeast(MIN_IN_TIME_SHARE);
    assertWithMessage("violated invariants").that(deployment.sim.platform.violations).isEmpty();
  }
}
