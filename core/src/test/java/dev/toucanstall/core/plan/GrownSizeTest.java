package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests the planner under the load of a large deployment. */
final class GrownSizeTest {

  /**
   * Share of the owed value that the users require on a day at this size; required here of the
   * short jobs that are completed while they still count.
   */
  private static final double FLOOR = 0.49;

  /**
   * Mean value that the users require of a day at this size; required here of the share of the
   * short jobs that meet their objective.
   */
  private static final double TARGET = 0.55;

  /** Length of the windows that are judged separately, in milliseconds. */
  private static final long WINDOW_MS = 2_000;

  /** Processing time of events. */
  private static final ServiceTime SERVICE_TIME = new ServiceTime(500, 2_300);

  /** Time to start the lasting jobs, in milliseconds. */
  private static final long SETTLE_MS = 6_000;

  /** Time after the surges in which the last jobs can complete, in milliseconds. */
  private static final long TAIL_MS = 12_000;

  /** Time within which a large entry instance must become the planner, in milliseconds. */
  private static final long HAND_OVER_MS = 6_000;

  /**
   * Longest time that a lasting task may be without a run while there is free capacity, in
   * milliseconds.
   */
  private static final long ABSENT_MS = 3_000;

  /** Cores of a large entry instance. */
  private static final double LARGE = 0.75;

  /** Entry instances with 1.5 cores. */
  private static final int LARGEST = 4;

  /** Large entry instances. */
  private static final int LARGER = 4;

  /** Entry instances with 0.36 of a core. */
  private static final int SMALL = 26;

  /**
   * Returns a deployment with 34 entry instances of three sizes, whose group names one of the
   * smallest as candidate for planner.
   */
  private static GrownSite site(long seed) {
    GrownSite site = new GrownSite(seed);
    site.world.serviceTime = SERVICE_TIME;
    IntStream.range(0, SMALL).forEach(i -> site.world.start(0.36));
    IntStream.range(0, LARGER).forEach(i -> site.world.start(LARGE));
    IntStream.range(0, LARGEST).forEach(i -> site.world.start(1.5));
    site.world.assign(site.world.instances.getFirst());
    return site;
  }

  /** Guards against a planner whose events wait so long that calls expire. */
  @Test
  void turnsOfFourTimesTheMeanAreServedWhileTheGroupNamesTheSmallestInstance() {
    GrownSite site = site(1);
    site.settle(SETTLE_MS);
    site.turns(2 * GrownSite.TURN_MS, 2);
    site.world.run(TAIL_MS);
    assertWithMessage("completed, %s", site.summary()).that(site.completed()).isAtLeast(FLOOR);
    assertWithMessage("calls expired").that(site.noted("call-expired")).isEqualTo(0);
    assertWithMessage("violated invariants").that(site.world.backend.broken).isEmpty();
  }

  /**
   * Guards against lasting tasks that stay without a run, and so are lost to their users, because
   * the planner lags though there is free capacity.
   */
  @Test
  void lastingTaskRunsAgainSoonWhileTheGroupNamesTheSmallestInstance() {
    GrownSite site = site(1);
    site.settle(SETTLE_MS);
    site.wave(GrownSite.TURN_MS);
    site.turns(2 * GrownSite.TURN_MS, 0);
    site.world.run(TAIL_MS);
    assertWithMessage("longest time without a run in ms, %s", site.summary())
        .that(site.world.backend.availability.longestMs(site.world.nowMs()))
        .isAtMost(ABSENT_MS);
  }

  /** Guards against a planner on the smallest instance while much larger ones are on standby. */
  @Test
  void largeInstancePlansThoughTheGroupNamesTheSmallest() {
    GrownSite site = site(1);
    site.world.run(HAND_OVER_MS);
    assertLargePlans(site);
    site.world.start(0.36);
    site.world.instances.get(1).end();
    site.world.assign(site.world.instances.get(2));
    site.world.run(HAND_OVER_MS);
    assertLargePlans(site);
    final int elections = site.noted("planner-elected");
    site.world.restart(site.world.instances.get(1));
    site.world.run(HAND_OVER_MS);
    assertLargePlans(site);
    assertWithMessage("elections").that(site.noted("planner-elected")).isEqualTo(elections);
  }

  /** Checks that the planner is at least a large entry instance. */
  private static void assertLargePlans(GrownSite site) {
    NodeInstance planner = site.world.planner();
    assertWithMessage("cores of the planner")
        .that(planner == null ? 0 : planner.cores)
        .isAtLeast(LARGE);
  }

  /**
   * Guards against jobs that miss their objective because machines arrive late or are moved twice.
   */
  @Test
  void firstTurnsMeetObjectivesWhileListsOfMachinesComeLate() {
    GrownSite site = new GrownSite(1);
    IntStream.range(0, LARGEST).forEach(i -> site.world.start(1.5));
    site.world.backend.listMs = 800;
    site.world.backend.movesPerS = 42;
    site.settle(SETTLE_MS);
    site.wave(GrownSite.TURN_MS);
    site.turns(3 * GrownSite.TURN_MS, 0);
    site.world.run(TAIL_MS);
    for (long from = GrownSite.TURN_MS; from < 3 * GrownSite.TURN_MS; from += WINDOW_MS) {
      double inTime = site.completed(1, from, from + WINDOW_MS);
      assertWithMessage("in time from %s ms, %s", from, site.summary())
          .that(inTime)
          .isAtLeast(TARGET);
    }
    assertWithMessage("violated invariants").that(site.world.backend.broken).isEmpty();
  }

  /**
   * Guards against jobs that miss their objective because machines of a maintenance wave can't be
   * moved.
   */
  @Test
  void firstTurnsMeetObjectivesWhileHalfOfTheMachinesAreMaintained() {
    GrownSite site = new GrownSite(1);
    IntStream.range(0, LARGEST).forEach(i -> site.world.start(1.5));
    site.settle(SETTLE_MS);
    site.wave(GrownSite.TURN_MS);
    site.turns(3 * GrownSite.TURN_MS, 0);
    site.world.run(TAIL_MS);
    double inTime = site.completed(1, GrownSite.TURN_MS, 3 * GrownSite.TURN_MS);
    assertWithMessage("in time, %s", site.summary()).that(inTime).isAtLeast(TARGET);
    assertWithMessage("violated invariants").that(site.world.backend.broken).isEmpty();
  }
}
