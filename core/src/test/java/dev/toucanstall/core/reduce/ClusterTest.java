package dev.toucanstall.core.reduce;

import static com.google.common.truth.Truth.assertThat;
import static dev.toucanstall.core.reduce.LocalCluster.MILLI;
import static dev.toucanstall.core.reduce.LocalCluster.SECOND;

import dev.toucanstall.core.effect.OperatorAnswer;
import dev.toucanstall.core.event.Event;
import dev.toucanstall.core.event.OperatorRequest;
import dev.toucanstall.core.model.KeyDigest;
import dev.toucanstall.core.model.TeamId;
import dev.toucanstall.core.peer.SlotKey;
import dev.toucanstall.core.reduce.LocalCluster.Node;
import dev.toucanstall.core.reduce.LocalCluster.Start;
import dev.toucanstall.core.state.State;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Several reducers under faults, one fault or one promise a test. */
final class ClusterTest {

  private static final TeamId TEAM = new TeamId("t");
  private static final long IN_FORCE_TARGET = 7 * SECOND;
  private static final long WITHDRAWN_TARGET = 5 * SECOND;

  private static LocalCluster ready(long seed, int size, int limit) {
    LocalCluster cluster = new LocalCluster(seed, size);
    cluster.limit = limit;
    assertThat(cluster.configure(limit)).isTrue();
    return cluster;
  }

  private static void load(LocalCluster cluster, long seconds, int perSecond, KeyDigest key) {
    long gap = SECOND / perSecond;
    for (long t = 0; t < seconds * SECOND; t += gap) {
      cluster.at(
          cluster.now + t,
          () -> {
            Node node = cluster.node(cluster.random.nextInt(cluster.nodes.size()));
            if (node.alive) {
              cluster.submit(node, key, null, true, 4 * SECOND);
            }
          });
    }
  }

  private static long lastStart(LocalCluster cluster) {
    return cluster.starts.stream().mapToLong(Start::at).max().orElse(0);
  }

  private static int homeSum(LocalCluster cluster, SlotKey key) {
    return cluster.nodes.values().stream()
        .filter(node -> node.alive)
        .mapToInt(node -> SplitRules.home(node.state, key, node.clock()))
        .sum();
  }

  @Test
  void eightInstancesBecomeMembersOfOneState() {
    LocalCluster cluster = ready(1, 8, 20);

    assertThat(cluster.node(7).state.appliedState().membership().active()).hasSize(8);
    assertThat(cluster.node(7).state.appliedState().digest())
        .isEqualTo(cluster.node(0).state.appliedState().digest());
  }

  @Test
  void homeSharesAddUpToTheLimit() {
    LocalCluster cluster = ready(2, 5, 23);
    cluster.run(2 * SECOND);

    assertThat(homeSum(cluster, new SlotKey.OfTeam(TEAM))).isEqualTo(23);
  }

  @Test
  void fullLoadStaysWithinTheLimitAndUsesAllOfIt() {
    LocalCluster cluster = ready(3, 5, 12);

    load(cluster, 10, 100, LocalCluster.key(0));
    cluster.run(15 * SECOND);

    assertThat(cluster.largestTeamUse).isEqualTo(12);
  }

  @Test
  void loadOnOneInstanceBorrowsTheLimitOfTheOthers() {
    LocalCluster cluster = ready(4, 5, 15);
    for (int i = 0; i < 600; i++) {
      cluster.at(
          cluster.now + i * 10 * MILLI,
          () -> cluster.submit(cluster.node(2), LocalCluster.key(0), null, true, 4 * SECOND));
    }
    cluster.run(8 * SECOND);

    assertThat(cluster.largestTeamUse).isAtLeast(12);
  }

  @Test
  void changeIsInForceEverywhereWithinItsTarget() {
    LocalCluster cluster = ready(5, 8, 10);
    cluster.set(cluster.node(3), "/teams/t/share", "9");
    long offset = cluster.log.size();

    boolean inForce =
        cluster.runUntil(
            IN_FORCE_TARGET,
            () ->
                cluster.ask(cluster.node(6), new OperatorRequest.ShowInForce(offset))
                        instanceof OperatorAnswer.InForceShown shown
                    && shown.inForce());

    assertThat(inForce).isTrue();
  }

  @Test
  void withdrawnKeyStopsWorkAtAnInstanceCutOffFromAll() {
    LocalCluster cluster = ready(6, 5, 20);

    assertWithdrawalStopsWork(cluster, () -> cluster.cut(cluster.node(4), true, true));
  }

  @Test
  void withdrawnKeyStopsWorkAtAnInstanceThatWasFrozen() {
    LocalCluster cluster = ready(7, 5, 20);

    assertWithdrawalStopsWork(cluster, () -> cluster.freeze(cluster.node(4), 9 * SECOND));
  }

  private static void assertWithdrawalStopsWork(LocalCluster cluster, Runnable fault) {
    load(cluster, 20, 50, LocalCluster.key(0));
    cluster.run(2 * SECOND);
    fault.run();
    cluster.set(cluster.node(0), "/teams/t/keys/k0", "");
    long withdrawn = cluster.now;
    cluster.run(18 * SECOND);

    assertThat(lastStart(cluster)).isLessThan(withdrawn + WITHDRAWN_TARGET);
  }

  @Test
  void outageOfTheLogStopsNoTraffic() {
    LocalCluster cluster = ready(8, 5, 20);
    cluster.logUp = false;
    cluster.run(60 * SECOND);
    load(cluster, 5, 20, LocalCluster.key(0));
    cluster.run(10 * SECOND);

    assertThat(cluster.outcomes.values()).doesNotContain("cut-off");
    assertThat(cluster.outcomes.values()).contains("ok");
  }

  @Test
  void instanceCutOffFromLogAndMajorityRefuses() {
    LocalCluster cluster = ready(9, 5, 20);
    cluster.logUp = false;
    cluster.cut(cluster.node(1), true, true);
    cluster.run(6 * SECOND);
    long number = cluster.submit(cluster.node(1), LocalCluster.key(0), null, true, SECOND);
    cluster.run(2 * SECOND);

    assertThat(cluster.outcomes).containsEntry(number, "cut-off");
    assertThat(cluster.node(1).state.localMember().ready()).isFalse();
  }

  @Test
  void instanceCutOffFromItsPeersServesWhileItReadsTheLog() {
    LocalCluster cluster = ready(10, 5, 20);
    cluster.cut(cluster.node(1), true, true);
    cluster.run(4 * SECOND);
    long number = cluster.submit(cluster.node(1), LocalCluster.key(0), null, true, SECOND);
    cluster.run(2 * SECOND);

    assertThat(cluster.outcomes).containsEntry(number, "ok");
  }

  @Test
  void killedInstanceIsEvictedAndItsSlotsReturn() {
    LocalCluster cluster = ready(11, 5, 20);
    load(cluster, 3, 50, LocalCluster.key(0));
    cluster.run(2 * SECOND);
    cluster.kill(cluster.node(3));

    boolean whole =
        cluster.runUntil(40 * SECOND, () -> homeSum(cluster, new SlotKey.OfTeam(TEAM)) == 20);

    assertThat(whole).isTrue();
    assertThat(cluster.node(0).state.appliedState().membership().active()).hasSize(4);
  }

  @Test
  void restartedInstanceWaitsForWhatItsEarlierStartLeft() {
    LocalCluster cluster = ready(12, 3, 9);
    load(cluster, 12, 60, LocalCluster.key(0));
    cluster.run(2 * SECOND);
    cluster.kill(cluster.node(2));
    cluster.run(300 * MILLI);
    cluster.restart(cluster.node(2));
    cluster.run(SECOND);
    State early = cluster.node(2).state;

    assertThat(SplitRules.home(early, new SlotKey.OfTeam(TEAM), cluster.node(2).clock()))
        .isEqualTo(0);
    boolean whole =
        cluster.runUntil(30 * SECOND, () -> homeSum(cluster, new SlotKey.OfTeam(TEAM)) == 9);
    assertThat(whole).isTrue();
  }

  @Test
  void requestIdRunsOnceThroughTwoInstances() {
    LocalCluster cluster = ready(13, 5, 20);
    cluster.run(LocalCluster.TIMING.claimWindow() + SECOND);
    long first = cluster.submit(cluster.node(0), LocalCluster.key(0), "a", false, 3 * SECOND);
    long second = cluster.submit(cluster.node(1), LocalCluster.key(0), "a", false, 3 * SECOND);
    cluster.run(4 * SECOND);

    assertThat(cluster.runsById).containsEntry("a", 1);
    assertThat(List.of(cluster.outcomes.get(first), cluster.outcomes.get(second)))
        .containsExactly("ok", "duplicate");
  }

  @Test
  void requestIdRunsOnceAcrossTheDeathOfItsHolder() {
    LocalCluster cluster = ready(14, 5, 20);
    cluster.submit(cluster.node(0), LocalCluster.key(0), "b", false, 3 * SECOND);
    cluster.run(20 * MILLI);
    cluster.kill(cluster.node(0));
    long again = cluster.submit(cluster.node(1), LocalCluster.key(0), "b", false, 3 * SECOND);
    cluster.run(5 * SECOND);

    assertThat(cluster.runsById.getOrDefault("b", 0)).isAtMost(1);
    assertThat(cluster.outcomes.get(again)).isAnyOf("duplicate", "claim-unavailable", "ok");
  }

  @Test
  void requestIdRunsOnceAcrossChangesOfMembers() {
    LocalCluster cluster = ready(19, 6, 20);
    for (int i = 0; i < 40; i++) {
      cluster.submit(cluster.node(0), LocalCluster.key(0), "m" + i, false, 3 * SECOND);
    }
    cluster.run(4 * SECOND);
    for (int i = 1; i <= 3; i++) {
      Node leaving = cluster.node(i);
      cluster.deliver(leaving, new Event.StopRequested(leaving.clock()));
    }
    cluster.run(10 * SECOND);
    for (int i = 0; i < 40; i++) {
      cluster.submit(cluster.node(4), LocalCluster.key(0), "m" + i, false, 3 * SECOND);
    }
    cluster.run(4 * SECOND);

    assertThat(cluster.runsById.values().stream().allMatch(runs -> runs == 1)).isTrue();
  }

  @Test
  void refusedRequestIdMayBeSentAgain() {
    LocalCluster cluster = ready(15, 3, 0);
    long refused = cluster.submit(cluster.node(0), LocalCluster.key(0), "c", false, SECOND);
    cluster.run(2 * SECOND);
    assertThat(cluster.outcomes).containsEntry(refused, "too-late");

    cluster.limit = 5;
    cluster.set(cluster.node(0), "/teams/t/limit", "5");
    cluster.run(2 * SECOND);
    long again = cluster.submit(cluster.node(1), LocalCluster.key(0), "c", false, 3 * SECOND);
    cluster.run(4 * SECOND);

    assertThat(cluster.outcomes).containsEntry(again, "ok");
  }

  @Test
  void waveRestartsEveryInstanceWithinTheBudgetUnderLoad() {
    LocalCluster cluster = ready(16, 3, 20);
    load(cluster, 60, 30, LocalCluster.key(0));
    cluster.set(
        cluster.node(1),
        "/waves/w/pool",
        "p",
        "/waves/w/parallel",
        "2",
        "/waves/w/state",
        "running");

    boolean done =
        cluster.runUntil(
            55 * SECOND, () -> cluster.fleet.values().stream().allMatch(o -> o.incarnation() == 2));

    assertThat(done).isTrue();
    cluster.run(5 * SECOND);
    assertThat(cluster.outcomes.values()).doesNotContain("backend-failed");
  }

  @Test
  void stopLeavesTheMembersWithNothingInFlight() {
    LocalCluster cluster = ready(17, 4, 20);
    load(cluster, 6, 40, LocalCluster.key(0));
    cluster.run(2 * SECOND);
    Node leaving = cluster.node(2);
    cluster.deliver(leaving, new Event.StopRequested(leaving.clock()));

    boolean left = cluster.runUntil(15 * SECOND, () -> leaving.exitStatus != null);

    assertThat(left).isTrue();
    assertThat(leaving.exitStatus).isEqualTo(0);
    assertThat(leaving.held).isEmpty();
    assertThat(cluster.outcomes.values()).doesNotContain("cut-off");
  }

  @Test
  void racingOperatorsAreOrderedByTheLog() {
    LocalCluster cluster = ready(18, 4, 20);
    cluster.operatorAnswers.clear();
    cluster.set(cluster.node(0), "/teams/t/share", "2");
    cluster.set(cluster.node(1), "/teams/t/share", "3");
    cluster.run(3 * SECOND);

    long accepted =
        cluster.operatorAnswers.stream().filter(a -> a instanceof OperatorAnswer.Accepted).count();
    long rejected =
        cluster.operatorAnswers.stream().filter(a -> a instanceof OperatorAnswer.Rejected).count();
    assertThat(accepted).isEqualTo(1);
    assertThat(rejected).isEqualTo(1);
  }
}
