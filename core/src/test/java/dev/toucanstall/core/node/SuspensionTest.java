package dev.toucanstall.core.node;

import static com.google.common.truth.Truth.assertThat;

import dev.toucanstall.core.job.Catalog;
import dev.toucanstall.core.model.InstanceSize;
import dev.toucanstall.core.plan.Now;
import dev.toucanstall.core.plan.Plan;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests suspensions of the machine, in which the monotonic clock stands still, that are short or
 * that a step of the wall clock hides.
 */
final class SuspensionTest {

  /** Time for which a confirmation permits starts, in milliseconds. */
  private static final long START_PERMISSION_MS = 2_500;

  private final Node node = new Node("n1", new InstanceSize(0.36, 330, 7));
  private long nowMs = 1_000_000;
  private long wallMs = 5_000_000;

  private void handle(NodeEvent event) {
    NodeReducer.reduce(node, event, new Now(nowMs, wallMs));
  }

  private void advance(long millis) {
    nowMs += millis;
    wallMs += millis;
  }

  /** Elects this instance, so that store and configuration were confirmed just now. */
  @BeforeEach
  void plan() {
    handle(new NodeEvent.CatalogRead(nowMs, Catalog.of(1, List.of(), List.of(), Set.of())));
    handle(new NodeEvent.LeaderRead(null));
    handle(new NodeEvent.Joined(true));
    handle(new NodeEvent.Elected(1, 7, List.of()));
    advance(10);
    handle(new NodeEvent.Tick());
  }

  private long confirmationAgeMs() {
    Plan plan = Objects.requireNonNull(NodeInternals.planOf(node));
    return nowMs - plan.confirmedMs();
  }

  private boolean isFresh() {
    return FreshnessRules.isFresh(node, new Now(nowMs, wallMs));
  }

  /**
   * Guards against a planner that gives starts and leases by a confirmation that is older than it
   * looks: the machine is suspended again and again, each time for less than counts as a
   * suspension.
   */
  @Test
  void repeatedShortSuspensionsMakeConfirmationsOld() {
    for (int i = 0; i < 10; i++) {
      wallMs += 400;
      advance(20);
      handle(new NodeEvent.Tick());
    }
    assertThat(confirmationAgeMs()).isGreaterThan(START_PERMISSION_MS);
    assertThat(isFresh()).isFalse();
  }

  /**
   * Guards against the same after one suspension while which the wall clock is set back, so that it
   * seems to lose time instead of gaining it.
   */
  @Test
  void suspensionIsNoticedThoughTheWallClockIsSetBack() {
    wallMs += 4_000 - 10_000;
    advance(20);
    handle(new NodeEvent.Tick());
    assertThat(confirmationAgeMs()).isGreaterThan(START_PERMISSION_MS);
    assertThat(isFresh()).isFalse();
  }
}
