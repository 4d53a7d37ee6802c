package dev.toucanstall.core.reduce;

import dev.toucanstall.core.fold.AppliedState;
import dev.toucanstall.core.fold.Fold;
import dev.toucanstall.core.fold.Membership;
import dev.toucanstall.core.model.KeyDigest;
import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.model.TeamId;
import dev.toucanstall.core.reduce.LocalCluster.Node;
import dev.toucanstall.core.settings.Pool;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Follows from outside which changes are in force: folds the log by itself, and notes for each
 * offset when a majority of the members had folded it and the freshness time had passed since.
 */
final class InForce {

  private final LocalCluster cluster;
  private AppliedState folded = AppliedState.EMPTY;
  private final TreeMap<Long, Long> majorityAt = new TreeMap<>();
  private final Map<KeyDigest, Long> withdrawnAt = new HashMap<>();
  private final TreeMap<Long, Integer> limits = new TreeMap<>();

  InForce(LocalCluster cluster) {
    this.cluster = cluster;
  }

  /** Takes in what was appended and folded since. */
  void observe() {
    while (folded.offset() + 1 < cluster.log.size()) {
      AppliedState before = folded;
      folded = Fold.apply(folded, cluster.log.get((int) folded.offset() + 1)).state();
      noteKeys(before);
      checkBudget();
      limits.put(folded.offset(), folded.settings().limit(new TeamId("t")));
    }
    for (long offset = folded.offset(); offset >= 0; offset--) {
      if (majorityAt.containsKey(offset)) {
        break;
      }
      if (isFoldedByMajorities(offset)) {
        majorityAt.put(offset, cluster.now);
        break;
      }
    }
  }

  private void checkBudget() {
    for (Pool pool : folded.settings().pools().values()) {
      long drained =
          folded.fleet().instancesInPool(pool.id()).stream()
              .filter(i -> !i.phase().takesWork())
              .count();
      if (drained > pool.maxUnavailable()) {
        throw new AssertionError(
            "pool %s has %d instances drained at offset %d"
                .formatted(pool.id(), drained, folded.offset()));
      }
    }
  }

  private void noteKeys(AppliedState before) {
    for (KeyDigest key : before.settings().keys().keySet()) {
      if (!folded.settings().keys().containsKey(key)) {
        withdrawnAt.put(key, folded.offset());
      }
    }
    folded.settings().keys().keySet().forEach(withdrawnAt::remove);
  }

  private boolean isFoldedByMajorities(long offset) {
    Set<MemberId> have = new HashSet<>();
    for (Node node : cluster.nodes.values()) {
      if (node.alive && node.state.appliedState().offset() >= offset) {
        have.add(new MemberId(node.name));
      }
    }
    return folded.membership().quorumGroups().stream()
        .allMatch(group -> !group.isEmpty() && Membership.isMajority(have, group));
  }

  /** Returns when a record came into force, the highest number if it has not. */
  long since(long offset) {
    var mark = majorityAt.ceilingEntry(offset);
    return mark == null ? Long.MAX_VALUE : mark.getValue() + LocalCluster.TIMING.freshness();
  }

  /** Tells whether a key's withdrawal is in force. */
  boolean isWithdrawn(KeyDigest key) {
    Long offset = withdrawnAt.get(key);
    return offset != null && cluster.now > since(offset);
  }

  /** Returns the highest limit under which work may still be running. */
  int highestLimit() {
    long settled = cluster.now - LocalCluster.TIMING.maxDeadline();
    int highest = 0;
    for (var entry : limits.descendingMap().entrySet()) {
      highest = Math.max(highest, entry.getValue());
      if (since(entry.getKey()) <= settled) {
        return highest;
      }
    }
    return highest;
  }

  AppliedState folded() {
    return folded;
  }
}
