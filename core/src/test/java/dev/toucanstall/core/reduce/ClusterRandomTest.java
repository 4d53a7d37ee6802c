package dev.toucanstall.core.reduce;

import static com.google.common.truth.Truth.assertWithMessage;
import static dev.toucanstall.core.reduce.SimulatedCluster.MILLI;
import static dev.toucanstall.core.reduce.SimulatedCluster.SECOND;

import dev.toucanstall.core.event.Event;
import dev.toucanstall.core.model.TeamId;
import dev.toucanstall.core.peer.SlotKey;
import dev.toucanstall.core.reduce.SimulatedCluster.Node;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Checks the invariants of a simulated cluster under random faults, and that the cluster recovers
 * once the faults have ended.
 *
 * <p>The system properties {@code random.runs} and {@code random.seed} set the number of runs and
 * the first seed. The property {@code random.receipt} selects a faulty variant that counts
 * freshness from the receipt of a reply; the test must detect it.
 */
final class ClusterRandomTest {

  private static final int STEP_COUNT = 60;
  private static final int KEY_COUNT = 3;
  private static final int FIRST_LIMIT = 12;
  private static final int HIGHEST_LIMIT = 30;
  private static final SlotKey TEAM = new SlotKey.OfTeam(new TeamId("t"));

  @Test
  void invariantsHoldUnderRandomFaults() {
    int runCount = Integer.getInteger("random.runs", 25);
    long firstSeed = Long.getLong("random.seed", 1);
    boolean freshnessFromReceipt = Boolean.getBoolean("random.receipt");
    long startCount = 0;
    for (long s = firstSeed; s < firstSeed + runCount; s++) {
      startCount += run(s, freshnessFromReceipt);
    }
    System.out.printf(
        "random runs %d from seed %d: %d starts of work checked%n",
        runCount, firstSeed, startCount);
  }

  private static int run(long seed, boolean freshnessFromReceipt) {
    Random random = new Random(seed);
    SimulatedCluster cluster = new SimulatedCluster(seed, 3 + random.nextInt(4));
    cluster.freshnessFromReceipt = freshnessFromReceipt;
    cluster.failureRate = random.nextInt(3) * 0.1;
    cluster.runTimeRange = (1 + random.nextInt(5)) * SECOND;
    InForceOracle oracle = new InForceOracle(cluster);
    try {
      cluster.configure(FIRST_LIMIT);
      cluster.setOracle(oracle);
      for (int step = 0; step < STEP_COUNT; step++) {
        injectFault(cluster, random, seed);
        cluster.advance((100 + random.nextInt(900)) * MILLI);
      }
      endFaults(cluster);
      checkRecovery(cluster, oracle, seed);
    } catch (AssertionError | RuntimeException e) {
      throw new AssertionError("seed %d: %s".formatted(seed, e.getMessage()), e);
    }
    return cluster.starts.size();
  }

  private static void injectFault(SimulatedCluster cluster, Random random, long seed) {
    Node node = cluster.node(random.nextInt(cluster.nodes.size()));
    switch (random.nextInt(16)) {
      case 0 -> {
        if (node.alive && !node.isFrozen()) {
          cluster.kill(node);
        }
      }
      case 1, 2 -> restartStopped(cluster);
      case 3 -> cluster.freeze(node, (1 + random.nextInt(10)) * SECOND);
      case 4 -> cluster.cutLinks(node, random.nextBoolean(), random.nextBoolean());
      case 5, 6 -> cluster.brokenLinks.clear();
      case 7 -> cluster.logAvailable = false;
      case 8, 9 -> cluster.logAvailable = true;
      case 10 -> cluster.appendLossRate = random.nextInt(3) * 0.2;
      case 11 -> toggleKey(cluster, node, random);
      case 12 ->
          changeSettingsIfAwake(
              cluster, node, "/teams/t/limit", String.valueOf(random.nextInt(HIGHEST_LIMIT)));
      case 13 -> cluster.linkDelayRange = (1 + random.nextInt(40)) * MILLI;
      case 14 -> startWave(cluster, node, random);
      default -> {
        if (node.alive && !node.isFrozen() && random.nextInt(3) == 0) {
          cluster.deliver(node, new Event.StopRequested(node.clock()));
        }
      }
    }
    scheduleRequests(cluster, random, seed);
  }

  private static void scheduleRequests(SimulatedCluster cluster, Random random, long seed) {
    for (int i = 0; i < 30; i++) {
      int key = random.nextInt(KEY_COUNT);
      boolean hasId = random.nextInt(4) == 0;
      String id = hasId ? "id" + random.nextInt(400) + "-" + seed : null;
      Node node = cluster.node(random.nextInt(cluster.nodes.size()));
      cluster.schedule(
          cluster.now + random.nextInt(1_000) * MILLI,
          () ->
              cluster.submit(
                  node,
                  SimulatedCluster.key(key),
                  id,
                  id == null,
                  (200 + cluster.random.nextInt(4_700)) * MILLI));
    }
  }

  private static void restartStopped(SimulatedCluster cluster) {
    cluster.nodes.values().stream().filter(n -> !n.alive).forEach(cluster::restart);
  }

  private static void changeSettingsIfAwake(SimulatedCluster cluster, Node node, String... values) {
    if (node.alive && !node.isFrozen()) {
      cluster.changeSettings(node, values);
    }
  }

  private static void toggleKey(SimulatedCluster cluster, Node node, Random random) {
    int key = random.nextInt(KEY_COUNT);
    String value = random.nextBoolean() ? SimulatedCluster.key(key).value() : "";
    changeSettingsIfAwake(cluster, node, "/teams/t/keys/k" + key, value);
  }

  private static void startWave(SimulatedCluster cluster, Node node, Random random) {
    String path = "/waves/w" + random.nextInt(3);
    changeSettingsIfAwake(cluster, node, path + "/pool", "p", path + "/state", "running");
  }

  private static void endFaults(SimulatedCluster cluster) {
    cluster.brokenLinks.clear();
    cluster.logAvailable = true;
    cluster.appendLossRate = 0;
    cluster.linkDelayRange = 2 * MILLI;
    cluster.advance(25 * SECOND);
    restartStopped(cluster);
  }

  private static void checkRecovery(SimulatedCluster cluster, InForceOracle oracle, long seed) {
    boolean settled = cluster.advanceUntil(40 * SECOND, cluster::isSettled);
    assertWithMessage("settled after all faults ended, seed %s", seed).that(settled).isTrue();
    int limit = oracle.appliedState().settings().limit(new TeamId("t"));
    boolean recovered = cluster.advanceUntil(40 * SECOND, () -> totalAllocation(cluster) == limit);
    assertWithMessage(
            "slots usable again, seed %s: %s of %s", seed, totalAllocation(cluster), limit)
        .that(recovered)
        .isTrue();
    boolean equal = cluster.advanceUntil(10 * SECOND, () -> digests(cluster).size() == 1);
    assertWithMessage("states equal, seed %s", seed).that(equal).isTrue();
  }

  private static List<Long> digests(SimulatedCluster cluster) {
    return cluster.nodes.values().stream()
        .map(node -> node.state.appliedState().digest())
        .distinct()
        .toList();
  }

  private static int totalAllocation(SimulatedCluster cluster) {
    return cluster.nodes.values().stream()
        .mapToInt(node -> AllocationRules.allocatedSlots(node.state, TEAM, node.clock()))
        .sum();
  }
}
