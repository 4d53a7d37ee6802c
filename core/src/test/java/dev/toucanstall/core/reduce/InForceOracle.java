package dev.toucanstall.core.reduce;

import dev.toucanstall.core.fold.AppliedState;
import dev.toucanstall.core.fold.Fold;
import dev.toucanstall.core.fold.Membership;
import dev.toucanstall.core.model.KeyDigest;
import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.model.TeamId;
import dev.toucanstall.core.reduce.SimulatedCluster.Node;
import dev.toucanstall.core.settings.Pool;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Test oracle that determines independently of the nodes which changes are in force.
 *
 * <p>The oracle folds the log and records the time at which a majority of the members had applied
 * each offset. A record is in force once the freshness time has passed since that time. Not
 * thread-safe.
 */
final class InForceOracle {

  private final SimulatedCluster cluster;
  private AppliedState appliedState = AppliedState.EMPTY;
  private final TreeMap<Long, Long> foldTimeByMajorityOffset = new TreeMap<>();
  private final Map<KeyDigest, Long> withdrawalOffsets = new HashMap<>();
  private final TreeMap<Long, Integer> limitsByOffset = new TreeMap<>();

  InForceOracle(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  /** Applies the records appended since the last call, and updates the offsets of majorities. */
  void update() {
    while (appliedState.offset() + 1 < cluster.log.size()) {
      AppliedState before = appliedState;
      appliedState =
          Fold.apply(appliedState, cluster.log.get((int) appliedState.offset() + 1)).state();
      recordWithdrawals(before);
      checkBudget();
      limitsByOffset.put(appliedState.offset(), appliedState.settings().limit(new TeamId("t")));
    }
    for (long offset = appliedState.offset(); offset >= 0; offset--) {
      if (foldTimeByMajorityOffset.containsKey(offset)) {
        break;
      }
      if (isFoldedByMajorities(offset)) {
        foldTimeByMajorityOffset.put(offset, cluster.now);
        break;
      }
    }
  }

  private void checkBudget() {
    for (Pool pool : appliedState.settings().pools().values()) {
      long outOfService =
          appliedState.fleet().instancesInPool(pool.id()).stream()
              .filter(i -> !i.phase().takesWork())
              .count();
      if (outOfService > pool.maxUnavailable()) {
        throw new AssertionError(
            "pool %s has %d instances drained at offset %d"
                .formatted(pool.id(), outOfService, appliedState.offset()));
      }
    }
  }

  /** Records the offsets at which keys were withdrawn; a key that is granted again is removed. */
  private void recordWithdrawals(AppliedState before) {
    for (KeyDigest key : before.settings().keys().keySet()) {
      if (!appliedState.settings().keys().containsKey(key)) {
        withdrawalOffsets.put(key, appliedState.offset());
      }
    }
    appliedState.settings().keys().keySet().forEach(withdrawalOffsets::remove);
  }

  private boolean isFoldedByMajorities(long offset) {
    Set<MemberId> withRecord = new HashSet<>();
    for (Node node : cluster.nodes.values()) {
      if (node.alive && node.state.appliedState().offset() >= offset) {
        withRecord.add(new MemberId(node.name));
      }
    }
    return appliedState.membership().quorumGroups().stream()
        .allMatch(group -> !group.isEmpty() && Membership.isMajority(withRecord, group));
  }

  /**
   * Returns the simulated time at which a record comes into force, {@code Long.MAX_VALUE} if no
   * majority has applied it.
   */
  long inForceAt(long offset) {
    var majority = foldTimeByMajorityOffset.ceilingEntry(offset);
    return majority == null
        ? Long.MAX_VALUE
        : majority.getValue() + SimulatedCluster.TIMING.freshness();
  }

  boolean isWithdrawn(KeyDigest key) {
    Long offset = withdrawalOffsets.get(key);
    return offset != null && cluster.now > inForceAt(offset);
  }

  /** Returns the highest limit of the team under which work may still be running. */
  int highestLimit() {
    long relevantSince = cluster.now - SimulatedCluster.TIMING.maxDeadline();
    int highest = 0;
    for (var entry : limitsByOffset.descendingMap().entrySet()) {
      highest = Math.max(highest, entry.getValue());
      if (inForceAt(entry.getKey()) <= relevantSince) {
        return highest;
      }
    }
    return highest;
  }

  AppliedState appliedState() {
    return appliedState;
  }
}
