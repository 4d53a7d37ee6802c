package dev.toucanstall.core.reduce;

import static com.google.common.truth.Truth.assertWithMessage;
import static dev.toucanstall.core.reduce.LocalCluster.MILLI;
import static dev.toucanstall.core.reduce.LocalCluster.SECOND;

import dev.toucanstall.core.event.Event;
import dev.toucanstall.core.model.TeamId;
import dev.toucanstall.core.peer.SlotKey;
import dev.toucanstall.core.reduce.LocalCluster.Node;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Random faults against all that must always hold. The number of runs and the first seed are set by
 * the system properties {@code random.runs} and {@code random.seed}.
 */
final class ClusterRandomTest {

  private static final int STEPS = 60;
  private static final int KEYS = 3;
  private static final int FIRST_LIMIT = 12;
  private static final int HIGHEST_LIMIT = 30;
  private static final SlotKey TEAM = new SlotKey.OfTeam(new TeamId("t"));

  @Test
  void promisesHoldUnderRandomFaults() {
    int runs = Integer.getInteger("random.runs", 25);
    long seed = Long.getLong("random.seed", 1);
    boolean receipt = Boolean.getBoolean("random.receipt");
    long starts = 0;
    for (long s = seed; s < seed + runs; s++) {
      starts += run(s, receipt);
    }
    System.out.printf(
        "random runs %d from seed %d: %d starts of work checked%n", runs, seed, starts);
  }

  private static int run(long seed, boolean receipt) {
    Random random = new Random(seed);
    LocalCluster cluster = new LocalCluster(seed, 3 + random.nextInt(4));
    cluster.countFromReceipt = receipt;
    cluster.failures = random.nextInt(3) * 0.1;
    cluster.longestWork = (1 + random.nextInt(5)) * SECOND;
    InForce inForce = new InForce(cluster);
    try {
      cluster.configure(FIRST_LIMIT);
      cluster.watch(inForce);
      for (int step = 0; step < STEPS; step++) {
        act(cluster, random, seed);
        cluster.run((100 + random.nextInt(900)) * MILLI);
      }
      heal(cluster);
      recover(cluster, inForce, seed);
    } catch (AssertionError | RuntimeException e) {
      throw new AssertionError("seed %d: %s".formatted(seed, e.getMessage()), e);
    }
    return cluster.starts.size();
  }

  private static void act(LocalCluster cluster, Random random, long seed) {
    Node node = cluster.node(random.nextInt(cluster.nodes.size()));
    switch (random.nextInt(16)) {
      case 0 -> {
        if (node.alive && !node.isFrozen()) {
          cluster.kill(node);
        }
      }
      case 1, 2 -> restartDead(cluster);
      case 3 -> cluster.freeze(node, (1 + random.nextInt(10)) * SECOND);
      case 4 -> cluster.cut(node, random.nextBoolean(), random.nextBoolean());
      case 5, 6 -> cluster.cuts.clear();
      case 7 -> cluster.logUp = false;
      case 8, 9 -> cluster.logUp = true;
      case 10 -> cluster.lossOfAppends = random.nextInt(3) * 0.2;
      case 11 -> setKey(cluster, node, random);
      case 12 ->
          setIfAwake(
              cluster, node, "/teams/t/limit", String.valueOf(random.nextInt(HIGHEST_LIMIT)));
      case 13 -> cluster.linkDelay = (1 + random.nextInt(40)) * MILLI;
      case 14 -> wave(cluster, node, random);
      default -> {
        if (node.alive && !node.isFrozen() && random.nextInt(3) == 0) {
          cluster.deliver(node, new Event.StopRequested(node.clock()));
        }
      }
    }
    traffic(cluster, random, seed);
  }

  private static void traffic(LocalCluster cluster, Random random, long seed) {
    for (int i = 0; i < 30; i++) {
      int key = random.nextInt(KEYS);
      boolean named = random.nextInt(4) == 0;
      String id = named ? "id" + random.nextInt(400) + "-" + seed : null;
      Node first = cluster.node(random.nextInt(cluster.nodes.size()));
      cluster.at(
          cluster.now + random.nextInt(1_000) * MILLI,
          () ->
              cluster.submit(
                  first,
                  LocalCluster.key(key),
                  id,
                  id == null,
                  (200 + cluster.random.nextInt(4_700)) * MILLI));
    }
  }

  private static void restartDead(LocalCluster cluster) {
    cluster.nodes.values().stream().filter(n -> !n.alive).forEach(cluster::restart);
  }

  private static void setIfAwake(LocalCluster cluster, Node node, String... values) {
    if (node.alive && !node.isFrozen()) {
      cluster.set(node, values);
    }
  }

  private static void setKey(LocalCluster cluster, Node node, Random random) {
    int key = random.nextInt(KEYS);
    String value = random.nextBoolean() ? LocalCluster.key(key).value() : "";
    setIfAwake(cluster, node, "/teams/t/keys/k" + key, value);
  }

  private static void wave(LocalCluster cluster, Node node, Random random) {
    String path = "/waves/w" + random.nextInt(3);
    setIfAwake(cluster, node, path + "/pool", "p", path + "/state", "running");
  }

  private static void heal(LocalCluster cluster) {
    cluster.cuts.clear();
    cluster.logUp = true;
    cluster.lossOfAppends = 0;
    cluster.linkDelay = 2 * MILLI;
    cluster.run(25 * SECOND);
    restartDead(cluster);
  }

  private static void recover(LocalCluster cluster, InForce inForce, long seed) {
    boolean settled = cluster.runUntil(40 * SECOND, cluster::isSettled);
    assertWithMessage("settled after all faults ended, seed %s", seed).that(settled).isTrue();
    int limit = inForce.folded().settings().limit(new TeamId("t"));
    boolean whole = cluster.runUntil(40 * SECOND, () -> homes(cluster) == limit);
    assertWithMessage("slots usable again, seed %s: %s of %s", seed, homes(cluster), limit)
        .that(whole)
        .isTrue();
    boolean equal = cluster.runUntil(10 * SECOND, () -> digests(cluster).size() == 1);
    assertWithMessage("states equal, seed %s", seed).that(equal).isTrue();
  }

  private static List<Long> digests(LocalCluster cluster) {
    return cluster.nodes.values().stream()
        .map(node -> node.state.appliedState().digest())
        .distinct()
        .toList();
  }

  private static int homes(LocalCluster cluster) {
    return cluster.nodes.values().stream()
        .mapToInt(node -> SplitRules.home(node.state, TEAM, node.clock()))
        .sum();
  }
}
