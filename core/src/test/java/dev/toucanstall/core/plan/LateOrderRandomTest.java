package dev.toucanstall.core.plan;

import static com.google.common.truth.Truth.assertWithMessage;

import dev.toucanstall.core.plan.LateOrderSeries.Combination;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongUnaryOperator;
import org.junit.jupiter.api.Test;

/**
 * Draws orders that give a lease and reach a later incarnation of their backend server, together
 * with the idleness of that backend server, the loss of the planner and a cut around the restart.
 * Each seed takes the next combinations, so that consecutive seeds draw all of them.
 */
final class LateOrderRandomTest {

  private static final int SEED_COUNT = Integer.getInteger("random.runs", 25);

  private static final long FIRST_SEED = Long.getLong("random.seed", 1);

  private static final int SERIES_PER_SEED = 8;

  /** Combinations in the order in which they are drawn. */
  private static final List<Combination> COMBINATIONS = Combination.all();

  /** Number of consecutive seeds that draw each combination. */
  private static final int FULL_SEED_COUNT = COMBINATIONS.size() / SERIES_PER_SEED;

  /** Time for which a broken planner doesn't await the leases of earlier ones. */
  private static final long UNAWAITED_MS = 4_000;

  /** Time for which a broken planner awaits the leases of earlier ones once they have expired. */
  private static final long EXCESS_WAIT_MS = 4_000;

  /** Number of series in which each combination came up. */
  private final Map<Combination, Integer> seenCounts = new LinkedHashMap<>();

  /** Number of those in which the later incarnation carried out the order. */
  private final Map<Combination, Integer> carriedOutCounts = new LinkedHashMap<>();

  /** Number of series in which something happened more than once, by its name. */
  private final Map<String, Integer> repeatedCounts = new LinkedHashMap<>();

  /**
   * Guards against two runs of a task at once, as a planner takes a lease for expired that it
   * doesn't know of or that it counts on the clock of another incarnation; and against lasting
   * tasks that wait for such leases for longer than users bear their absence.
   */
  @Test
  void lateOrdersAroundRestartsViolateNoInvariant() {
    List<String> violations = new ArrayList<>();
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; seed++) {
      violations.addAll(runSeed(seed, LongUnaryOperator.identity()));
    }
    assertWithMessage("violations, and how often each combination came up: %s", counts())
        .that(violations)
        .isEmpty();
    assertAllCombinationsSeen();
  }

  /** Guards against a random test that would not notice a planner that awaits no leases. */
  @Test
  void plannerThatAwaitsNoLeasesOfEarlierOnesViolatesInvariants() {
    boolean found = false;
    for (long seed = FIRST_SEED; seed < FIRST_SEED + FULL_SEED_COUNT && !found; seed++) {
      found = !runSeed(seed, boundMs -> boundMs - UNAWAITED_MS).isEmpty();
    }
    assertWithMessage("violations found").that(found).isTrue();
  }

  /** Guards against a random test that would not notice lasting tasks that wait for too long. */
  @Test
  void plannerThatAwaitsLeasesForTooLongViolatesInvariants() {
    boolean found = false;
    for (long seed = FIRST_SEED; seed < FIRST_SEED + FULL_SEED_COUNT && !found; seed++) {
      found =
          runSeed(seed, boundMs -> boundMs + EXCESS_WAIT_MS).stream()
              .anyMatch(v -> v.contains(LateOrderMonitor.OUTAGE));
    }
    assertWithMessage("outages found").that(found).isTrue();
  }

  /** Asserts that each combination came up, unless too few seeds were run to draw all. */
  private void assertAllCombinationsSeen() {
    if (SEED_COUNT < FULL_SEED_COUNT) {
      return;
    }
    assertWithMessage("combinations that came up: %s", counts())
        .that(seenCounts.keySet())
        .containsAtLeastElementsIn(COMBINATIONS);
    assertWithMessage("what happened more than once: %s", repeatedCounts)
        .that(repeatedCounts)
        .hasSize(3);
  }

  private String counts() {
    StringBuilder text = new StringBuilder();
    COMBINATIONS.forEach(
        c ->
            text.append(
                "%n%s: %d, carried out %d"
                    .formatted(
                        c, seenCounts.getOrDefault(c, 0), carriedOutCounts.getOrDefault(c, 0))));
    return text.append("%nmore than once: %s%n".formatted(repeatedCounts)).toString();
  }

  /** Runs the series of a seed; returns the violations, each with the trace of its series. */
  private List<String> runSeed(long seed, LongUnaryOperator leaseBoundChange) {
    List<String> violations = new ArrayList<>();
    for (int i = 0; i < SERIES_PER_SEED; i++) {
      long number = seed * SERIES_PER_SEED + i;
      Combination combination = COMBINATIONS.get(Math.floorMod(number, COMBINATIONS.size()));
      LateOrderSeries series = new LateOrderSeries(number, combination, leaseBoundChange);
      List<String> found = series.execute();
      count(series);
      if (!found.isEmpty()) {
        String trace = String.join("\n  ", series.trace(found));
        violations.add(
            "seed %d, series %d, %s: %s%n  %s%n".formatted(seed, i, combination, found, trace));
      }
    }
    return violations;
  }

  private void count(LateOrderSeries series) {
    Combination seen = series.combinationSeen();
    if (seen != null) {
      seenCounts.merge(seen, 1, Integer::sum);
      carriedOutCounts.merge(seen, series.wasCarriedOut() ? 1 : 0, Integer::sum);
      series.repeated().forEach(name -> repeatedCounts.merge(name, 1, Integer::sum));
    }
  }
}
