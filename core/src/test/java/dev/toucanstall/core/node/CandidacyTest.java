package dev.toucanstall.core.node;

import static com.google.common.truth.Truth.assertThat;

import dev.toucanstall.core.job.Catalog;
import dev.toucanstall.core.model.Address;
import dev.toucanstall.core.model.InstanceSize;
import dev.toucanstall.core.plan.Now;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class CandidacyTest {

  private static final Address PLANNER = new Address("10.0.0.2", 7000);
  private static final double OWN_CORES = 0.36;
  private static final double PLANNER_CORES = 1.5;

  /** Longer than the times after which a link is given up and small instances may take over. */
  private static final long TAKEOVER_MS = 4_000;

  private static final long STEP_MS = 100;

  private final Node node = new Node("n1", new InstanceSize(OWN_CORES, 330, 7));
  private final List<NodeEffect> effects = new ArrayList<>();
  private boolean storeAnswers = true;
  private long nowMs = 1_000_000;

  private void handle(NodeEvent event) {
    effects.addAll(NodeReducer.reduce(node, event, new Now(nowMs, nowMs)));
  }

  /** Lets time pass, in which the store answers unless it is out. */
  private void advance(long millis) {
    for (long end = nowMs + millis; nowMs < end; ) {
      nowMs += STEP_MS;
      handle(new NodeEvent.Tick());
      if (storeAnswers) {
        handle(new NodeEvent.CatalogRead(nowMs, null));
      }
    }
  }

  private void start() {
    handle(new NodeEvent.CatalogRead(nowMs, Catalog.of(1, List.of(), List.of(), Set.of())));
    handle(new NodeEvent.LeaderRead(null));
  }

  private void followPlanner(long epoch) {
    handle(new NodeEvent.LeaderRead(new Leader(epoch, "n2", PLANNER)));
    handle(new NodeEvent.LinkUp(PLANNER));
    handle(new NodeEvent.PeerPonged(PLANNER, true, false));
  }

  private void losePlanner() {
    handle(new NodeEvent.LinkDown(PLANNER, "Read timed out"));
    handle(new NodeEvent.LinkDown(PLANNER, "connection refused"));
  }

  private boolean electionBegun() {
    return effects.stream().anyMatch(NodeEffect.Elect.class::isInstance);
  }

  @Test
  void instanceMuchSmallerThanPlannerLeavesGroup() {
    start();
    followPlanner(1);
    handle(new NodeEvent.LeaderSizeRead(new LeaderSize(1, PLANNER_CORES)));
    assertThat(effects).contains(new NodeEffect.SetGroupMembership(false));
  }

  @Test
  void instanceOfSimilarSizeStaysInGroup() {
    start();
    followPlanner(1);
    handle(new NodeEvent.LeaderSizeRead(new LeaderSize(1, OWN_CORES * 1.4)));
    assertThat(effects).doesNotContain(new NodeEffect.SetGroupMembership(false));
  }

  /** Guards against a size that is compared though it belongs to an earlier planner. */
  @Test
  void plannerOfLaterTermWithoutSizeMakesAllCandidates() {
    start();
    followPlanner(1);
    handle(new NodeEvent.LeaderSizeRead(new LeaderSize(1, PLANNER_CORES)));
    followPlanner(2);
    assertThat(effects).contains(new NodeEffect.SetGroupMembership(true));
  }

  @Test
  void smallInstanceTakesOverOnlyAfterDelay() {
    start();
    followPlanner(1);
    handle(new NodeEvent.LeaderSizeRead(new LeaderSize(1, PLANNER_CORES)));
    losePlanner();
    handle(new NodeEvent.Joined(true));
    assertThat(electionBegun()).isFalse();
    advance(TAKEOVER_MS);
    assertThat(effects).contains(new NodeEffect.SetGroupMembership(true));
    handle(new NodeEvent.Joined(true));
    assertThat(electionBegun()).isTrue();
  }

  /** Guards against small instances that take over at the end of an outage of the store. */
  @Test
  void delayOfSmallInstanceCountsOnlyWhileStoreAnswers() {
    start();
    followPlanner(1);
    handle(new NodeEvent.LeaderSizeRead(new LeaderSize(1, PLANNER_CORES)));
    losePlanner();
    storeAnswers = false;
    advance(2 * TAKEOVER_MS);
    storeAnswers = true;
    advance(STEP_MS);
    handle(new NodeEvent.Joined(true));
    assertThat(electionBegun()).isFalse();
    advance(TAKEOVER_MS);
    handle(new NodeEvent.Joined(true));
    assertThat(electionBegun()).isTrue();
  }

  @Test
  void instanceThatCannotReadRecordsLetsOthersPlan() {
    start();
    handle(new NodeEvent.Joined(true));
    assertThat(electionBegun()).isTrue();
    handle(new NodeEvent.RecordsUnreadable("record \"s/1\" can't be read"));
    assertThat(effects).contains(new NodeEffect.SetGroupMembership(false));
    effects.clear();
    advance(TAKEOVER_MS);
    handle(new NodeEvent.Joined(true));
    assertThat(electionBegun()).isFalse();
    advance(2 * TAKEOVER_MS);
    assertThat(effects).contains(new NodeEffect.SetGroupMembership(true));
    handle(new NodeEvent.Joined(true));
    assertThat(electionBegun()).isTrue();
  }

  @Test
  void capacityIsOfferedOnlyWhileStoreAnswers() {
    start();
    followPlanner(1);
    assertThat(effects).contains(new NodeEffect.OfferCores(OWN_CORES));
    storeAnswers = false;
    advance(2_000);
    assertThat(effects).contains(new NodeEffect.OfferCores(0));
  }
}
