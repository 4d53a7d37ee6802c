package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Load of the grown deployments. */
final class GrownSizeTest {

  /** What the users ask to be earned of what is owed on a day of the grown size. */
  private static final double FLOOR = 0.49;

  /** What the users ask a day of the grown size to be worth, on the mean. */
  private static final double TARGET = 0.55;

  /** Length of the windows that count by themselves, in milliseconds. */
  private static final long WINDOW_MS = 2_000;

  private static final ServiceTime SERVICE_TIME = new ServiceTime(500, 2_300);
  private static final long SETTLE_MS = 6_000;

  /** Time in which jobs that were sent last can end, in milliseconds. */
  private static final long TAIL_MS = 12_000;

  /** Time in which the largest entry instance is to plan, in milliseconds. */
  private static final long HAND_OVER_MS = 6_000;

  /** How long a lasting task may be without a run while there is room, in milliseconds. */
  private static final long ABSENT_MS = 3_000;

  private static final double LARGE = 0.75;
  private static final int LARGEST = 4;
  private static final int LARGER = 4;
  private static final int SMALL = 26;

  /** A site with 34 entry instances of uneven size, of which the smallest are named as planners. */
  private static GrownSite site(long seed) {
    GrownSite site = new GrownSite(seed);
    site.world.serviceTime = SERVICE_TIME;
    IntStream.range(0, SMALL).forEach(i -> site.world.start(0.36));
    IntStream.range(0, LARGER).forEach(i -> site.world.start(LARGE));
    IntStream.range(0, LARGEST).forEach(i -> site.world.start(1.5));
    site.world.assign(site.world.instances.getFirst());
    return site;
  }

  // Guards against a planner whose events wait so long that calls expire: SHORT at the grown size.
  @Test
  void turnsOfFourTimesTheMeanAreServedWhileTheGroupNamesTheSmallestInstance() {
    GrownSite site = site(1);
    site.settle(SETTLE_MS);
    site.turns(2 * GrownSite.TURN_MS, 2);
    site.world.run(TAIL_MS);
    assertWithMessage("completed, %s", site.summary()).that(site.completed()).isAtLeast(FLOOR);
    assertWithMessage("calls expired").that(site.noted("call-expired")).isEqualTo(0);
    assertWithMessage("broken promises").that(site.world.backend.broken).isEmpty();
  }

  // Guards against lasting tasks that wait for a planner that lags, though there is room: LOST.
  @Test
  void lastingTaskRunsAgainSoonWhileTheGroupNamesTheSmallestInstance() {
    GrownSite site = site(1);
    site.settle(SETTLE_MS);
    site.wave(GrownSite.TURN_MS);
    site.turns(2 * GrownSite.TURN_MS, 0);
    site.world.run(TAIL_MS);
    assertWithMessage("longest time without a run, ms, %s", site.summary())
        .that(site.world.backend.availability.longestMs(site.world.nowMs()))
        .isAtMost(ABSENT_MS);
  }

  // Guards against a planner on the smallest instance while much larger ones stand by.
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

  private static void assertLargePlans(GrownSite site) {
    NodeInstance planner = site.world.planner();
    assertWithMessage("cores of the planner")
        .that(planner == null ? 0 : planner.cores)
        .isAtLeast(LARGE);
  }

  // Guards against jobs that miss their objective because machines come late or are moved twice.
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
    assertWithMessage("broken promises").that(site.world.backend.broken).isEmpty();
  }

  // Guards against jobs that miss their objective because machines of a wave can not be moved.
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
    assertWithMessage("broken promises").that(site.world.backend.broken).isEmpty();
  }
}
