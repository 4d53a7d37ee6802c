package dev.toucanstall.core.reduce;

import static com.google.common.truth.Truth.assertThat;
import static dev.toucanstall.core.reduce.SimulatedCluster.MILLI;
import static dev.toucanstall.core.reduce.SimulatedCluster.SECOND;

import dev.toucanstall.core.effect.OperatorAnswer;
import dev.toucanstall.core.event.Event;
import dev.toucanstall.core.event.OperatorRequest;
import dev.toucanstall.core.model.KeyDigest;
import dev.toucanstall.core.model.TeamId;
import dev.toucanstall.core.peer.SlotKey;
import dev.toucanstall.core.reduce.SimulatedCluster.Node;
import dev.toucanstall.core.reduce.SimulatedCluster.Start;
import dev.toucanstall.core.state.State;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests a simulated cluster of reducers; each test covers one fault or one guarantee. */
final class ClusterTest {

  private static final TeamId TEAM = new TeamId("t");

  /** Time within which a change must be in force on every entry instance, in nanoseconds. */
  private static final long IN_FORCE_TARGET = 7 * SECOND;

  /** Time within which a withdrawn key must start no more work, in nanoseconds. */
  private static final long WITHDRAWN_TARGET = 5 * SECOND;

  private static SimulatedCluster readyCluster(long seed, int size, int limit) {
    SimulatedCluster cluster = new SimulatedCluster(seed, size);
    cluster.limit = limit;
    assertThat(cluster.configure(limit)).isTrue();
    return cluster;
  }

  /** Schedules idempotent requests at a constant rate to random live nodes. */
  private static void scheduleLoad(
      SimulatedCluster cluster, long seconds, int perSecond, KeyDigest key) {
    long interval = SECOND / perSecond;
    for (long t = 0; t < seconds * SECOND; t += interval) {
      cluster.schedule(
          cluster.now + t,
          () -> {
            Node node = cluster.node(cluster.random.nextInt(cluster.nodes.size()));
            if (node.alive) {
              cluster.submit(node, key, null, true, 4 * SECOND);
            }
          });
    }
  }

  /** Returns the simulated time of the last start of work, 0 if there was none. */
  private static long lastStart(SimulatedCluster cluster) {
    return cluster.starts.stream().mapToLong(Start::at).max().orElse(0);
  }

  private static int totalAllocation(SimulatedCluster cluster, SlotKey key) {
    return cluster.nodes.values().stream()
        .filter(node -> node.alive)
        .mapToInt(node -> AllocationRules.allocatedSlots(node.state, key, node.clock()))
        .sum();
  }

  @Test
  void eightInstancesJoinAndAgreeOnState() {
    SimulatedCluster cluster = readyCluster(1, 8, 20);

    assertThat(cluster.node(7).state.appliedState().membership().active()).hasSize(8);
    assertThat(cluster.node(7).state.appliedState().digest())
        .isEqualTo(cluster.node(0).state.appliedState().digest());
  }

  @Test
  void allocationsAddUpToLimit() {
    SimulatedCluster cluster = readyCluster(2, 5, 23);
    cluster.advance(2 * SECOND);

    assertThat(totalAllocation(cluster, new SlotKey.OfTeam(TEAM))).isEqualTo(23);
  }

  @Test
  void fullLoadStaysWithinTheLimitAndUsesAllOfIt() {
    SimulatedCluster cluster = readyCluster(3, 5, 12);

    scheduleLoad(cluster, 10, 100, SimulatedCluster.key(0));
    cluster.advance(15 * SECOND);

    assertThat(cluster.maxTeamRunning).isEqualTo(12);
  }

  @Test
  void loadOnOneInstanceBorrowsTheLimitOfTheOthers() {
    SimulatedCluster cluster = readyCluster(4, 5, 15);
    for (int i = 0; i < 600; i++) {
      cluster.schedule(
          cluster.now + i * 10 * MILLI,
          () -> cluster.submit(cluster.node(2), SimulatedCluster.key(0), null, true, 4 * SECOND));
    }
    cluster.advance(8 * SECOND);

    assertThat(cluster.maxTeamRunning).isAtLeast(12);
  }

  @Test
  void changeIsInForceEverywhereWithinItsTarget() {
    SimulatedCluster cluster = readyCluster(5, 8, 10);
    cluster.changeSettings(cluster.node(3), "/teams/t/share", "9");
    long offset = cluster.log.size();

    boolean inForce =
        cluster.advanceUntil(
            IN_FORCE_TARGET,
            () ->
                cluster.query(cluster.node(6), new OperatorRequest.ShowInForce(offset))
                        instanceof OperatorAnswer.InForceShown shown
                    && shown.inForce());

    assertThat(inForce).isTrue();
  }

  @Test
  void withdrawnKeyStopsWorkAtAnInstanceCutOffFromAll() {
    SimulatedCluster cluster = readyCluster(6, 5, 20);

    assertWithdrawalStopsWork(cluster, () -> cluster.cutLinks(cluster.node(4), true, true));
  }

  @Test
  void withdrawnKeyStopsWorkAtAnInstanceThatWasFrozen() {
    SimulatedCluster cluster = readyCluster(7, 5, 20);

    assertWithdrawalStopsWork(cluster, () -> cluster.freeze(cluster.node(4), 9 * SECOND));
  }

  private static void assertWithdrawalStopsWork(SimulatedCluster cluster, Runnable fault) {
    scheduleLoad(cluster, 20, 50, SimulatedCluster.key(0));
    cluster.advance(2 * SECOND);
    fault.run();
    cluster.changeSettings(cluster.node(0), "/teams/t/keys/k0", "");
    long withdrawnAt = cluster.now;
    cluster.advance(18 * SECOND);

    assertThat(lastStart(cluster)).isLessThan(withdrawnAt + WITHDRAWN_TARGET);
  }

  @Test
  void outageOfTheLogStopsNoTraffic() {
    SimulatedCluster cluster = readyCluster(8, 5, 20);
    cluster.logAvailable = false;
    cluster.advance(60 * SECOND);
    scheduleLoad(cluster, 5, 20, SimulatedCluster.key(0));
    cluster.advance(10 * SECOND);

    assertThat(cluster.outcomes.values()).doesNotContain("cut-off");
    assertThat(cluster.outcomes.values()).contains("ok");
  }

  @Test
  void instanceCutOffFromLogAndMajorityRefuses() {
    SimulatedCluster cluster = readyCluster(9, 5, 20);
    cluster.logAvailable = false;
    cluster.cutLinks(cluster.node(1), true, true);
    cluster.advance(6 * SECOND);
    long number = cluster.submit(cluster.node(1), SimulatedCluster.key(0), null, true, SECOND);
    cluster.advance(2 * SECOND);

    assertThat(cluster.outcomes).containsEntry(number, "cut-off");
    assertThat(cluster.node(1).state.localMember().ready()).isFalse();
  }

  @Test
  void instanceCutOffFromItsPeersServesWhileItReadsTheLog() {
    SimulatedCluster cluster = readyCluster(10, 5, 20);
    cluster.cutLinks(cluster.node(1), true, true);
    cluster.advance(4 * SECOND);
    long number = cluster.submit(cluster.node(1), SimulatedCluster.key(0), null, true, SECOND);
    cluster.advance(2 * SECOND);

    assertThat(cluster.outcomes).containsEntry(number, "ok");
  }

  @Test
  void killedInstanceIsEvictedAndItsSlotsReturn() {
    SimulatedCluster cluster = readyCluster(11, 5, 20);
    scheduleLoad(cluster, 3, 50, SimulatedCluster.key(0));
    cluster.advance(2 * SECOND);
    cluster.kill(cluster.node(3));

    boolean recovered =
        cluster.advanceUntil(
            40 * SECOND, () -> totalAllocation(cluster, new SlotKey.OfTeam(TEAM)) == 20);

    assertThat(recovered).isTrue();
    assertThat(cluster.node(0).state.appliedState().membership().active()).hasSize(4);
  }

  @Test
  void restartedInstanceWaitsForSlotsOfItsEarlierIncarnation() {
    SimulatedCluster cluster = readyCluster(12, 3, 9);
    scheduleLoad(cluster, 12, 60, SimulatedCluster.key(0));
    cluster.advance(2 * SECOND);
    cluster.kill(cluster.node(2));
    cluster.advance(300 * MILLI);
    cluster.restart(cluster.node(2));
    cluster.advance(SECOND);
    State early = cluster.node(2).state;

    assertThat(
            AllocationRules.allocatedSlots(
                early, new SlotKey.OfTeam(TEAM), cluster.node(2).clock()))
        .isEqualTo(0);
    boolean recovered =
        cluster.advanceUntil(
            30 * SECOND, () -> totalAllocation(cluster, new SlotKey.OfTeam(TEAM)) == 9);
    assertThat(recovered).isTrue();
  }

  @Test
  void requestIdRunsOnceThroughTwoInstances() {
    SimulatedCluster cluster = readyCluster(13, 5, 20);
    cluster.advance(SimulatedCluster.TIMING.claimWindow() + SECOND);
    long firstNumber =
        cluster.submit(cluster.node(0), SimulatedCluster.key(0), "a", false, 3 * SECOND);
    long secondNumber =
        cluster.submit(cluster.node(1), SimulatedCluster.key(0), "a", false, 3 * SECOND);
    cluster.advance(4 * SECOND);

    assertThat(cluster.runsById).containsEntry("a", 1);
    assertThat(List.of(cluster.outcomes.get(firstNumber), cluster.outcomes.get(secondNumber)))
        .containsExactly("ok", "duplicate");
  }

  @Test
  void requestIdRunsOnceWhenItsHolderIsKilled() {
    SimulatedCluster cluster = readyCluster(14, 5, 20);
    cluster.submit(cluster.node(0), SimulatedCluster.key(0), "b", false, 3 * SECOND);
    cluster.advance(20 * MILLI);
    cluster.kill(cluster.node(0));
    long resubmittedNumber =
        cluster.submit(cluster.node(1), SimulatedCluster.key(0), "b", false, 3 * SECOND);
    cluster.advance(5 * SECOND);

    assertThat(cluster.runsById.getOrDefault("b", 0)).isAtMost(1);
    assertThat(cluster.outcomes.get(resubmittedNumber))
        .isAnyOf("duplicate", "claim-unavailable", "ok");
  }

  @Test
  void requestIdRunsOnceAcrossChangesOfMembers() {
    SimulatedCluster cluster = readyCluster(19, 6, 20);
    for (int i = 0; i < 40; i++) {
      cluster.submit(cluster.node(0), SimulatedCluster.key(0), "m" + i, false, 3 * SECOND);
    }
    cluster.advance(4 * SECOND);
    for (int i = 1; i <= 3; i++) {
      Node leaving = cluster.node(i);
      cluster.deliver(leaving, new Event.StopRequested(leaving.clock()));
    }
    cluster.advance(10 * SECOND);
    for (int i = 0; i < 40; i++) {
      cluster.submit(cluster.node(4), SimulatedCluster.key(0), "m" + i, false, 3 * SECOND);
    }
    cluster.advance(4 * SECOND);

    assertThat(cluster.runsById.values().stream().allMatch(runs -> runs == 1)).isTrue();
  }

  @Test
  void refusedRequestIdMayBeSubmittedAgain() {
    SimulatedCluster cluster = readyCluster(15, 3, 0);
    long refusedNumber =
        cluster.submit(cluster.node(0), SimulatedCluster.key(0), "c", false, SECOND);
    cluster.advance(2 * SECOND);
    assertThat(cluster.outcomes).containsEntry(refusedNumber, "too-late");

    cluster.limit = 5;
    cluster.changeSettings(cluster.node(0), "/teams/t/limit", "5");
    cluster.advance(2 * SECOND);
    long resubmittedNumber =
        cluster.submit(cluster.node(1), SimulatedCluster.key(0), "c", false, 3 * SECOND);
    cluster.advance(4 * SECOND);

    assertThat(cluster.outcomes).containsEntry(resubmittedNumber, "ok");
  }

  @Test
  void waveRestartsEveryInstanceWithinTheBudgetUnderLoad() {
    SimulatedCluster cluster = readyCluster(16, 3, 20);
    scheduleLoad(cluster, 60, 30, SimulatedCluster.key(0));
    cluster.changeSettings(
        cluster.node(1),
        "/waves/w/pool",
        "p",
        "/waves/w/parallel",
        "2",
        "/waves/w/state",
        "running");

    boolean done =
        cluster.advanceUntil(
            55 * SECOND, () -> cluster.fleet.values().stream().allMatch(o -> o.incarnation() == 2));

    assertThat(done).isTrue();
    cluster.advance(5 * SECOND);
    assertThat(cluster.outcomes.values()).doesNotContain("backend-failed");
  }

  @Test
  void stopLeavesMembershipWithNothingInFlight() {
    SimulatedCluster cluster = readyCluster(17, 4, 20);
    scheduleLoad(cluster, 6, 40, SimulatedCluster.key(0));
    cluster.advance(2 * SECOND);
    Node leaving = cluster.node(2);
    cluster.deliver(leaving, new Event.StopRequested(leaving.clock()));

    boolean left = cluster.advanceUntil(15 * SECOND, () -> leaving.exitStatus != null);

    assertThat(left).isTrue();
    assertThat(leaving.exitStatus).isEqualTo(0);
    assertThat(leaving.openRequests).isEmpty();
    assertThat(cluster.outcomes.values()).doesNotContain("cut-off");
  }

  @Test
  void racingOperatorsAreOrderedByTheLog() {
    SimulatedCluster cluster = readyCluster(18, 4, 20);
    cluster.operatorAnswers.clear();
    cluster.changeSettings(cluster.node(0), "/teams/t/share", "2");
    cluster.changeSettings(cluster.node(1), "/teams/t/share", "3");
    cluster.advance(3 * SECOND);

    long acceptedCount =
        cluster.operatorAnswers.stream().filter(a -> a instanceof OperatorAnswer.Accepted).count();
    long rejectedCount =
        cluster.operatorAnswers.stream().filter(a -> a instanceof OperatorAnswer.Rejected).count();
    assertThat(acceptedCount).isEqualTo(1);
    assertThat(rejectedCount).isEqualTo(1);
  }
}
