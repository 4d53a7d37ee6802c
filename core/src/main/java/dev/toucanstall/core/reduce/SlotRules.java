package dev.toucanstall.core.reduce;

import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.model.PoolId;
import dev.toucanstall.core.model.TeamId;
import dev.toucanstall.core.peer.SlotKey;
import dev.toucanstall.core.state.SlotUsage;
import dev.toucanstall.core.state.State;

/** Counts the slots that this entry instance uses. Stateless. */
final class SlotRules {

  private SlotRules() {}

  /** Returns the usage of a kind of slots, with its allocation computed from the current epochs. */
  static SlotUsage currentUsage(State state, SlotKey key, long now) {
    SlotUsage usage = state.slots().get(key);
    long allocationVersion = state.slots().allocationVersion();
    return usage.allocationVersion() == allocationVersion
        ? usage
        : usage.withAllocation(AllocationRules.allocatedSlots(state, key, now), allocationVersion);
  }

  static State refreshPoolAllocations(State state, PoolId pool, long now) {
    long allocationVersion = state.slots().allocationVersion();
    State next = state;
    for (InstanceId id : state.appliedState().fleet().idsInPool(pool)) {
      SlotKey key = new SlotKey.OfInstance(id);
      if (next.slots().get(key).allocationVersion() != allocationVersion) {
        next = next.withSlots(next.slots().with(key, currentUsage(next, key, now)));
      }
    }
    return next;
  }

  static State countStart(State state, TeamId team, InstanceId instance, long now) {
    return adjustRunning(
        adjustRunning(state, new SlotKey.OfTeam(team), 1, now),
        new SlotKey.OfInstance(instance),
        1,
        now);
  }

  static State countEnd(State state, TeamId team, InstanceId instance, long now) {
    return adjustRunning(
        adjustRunning(state, new SlotKey.OfTeam(team), -1, now),
        new SlotKey.OfInstance(instance),
        -1,
        now);
  }

  private static State adjustRunning(State state, SlotKey key, int delta, long now) {
    SlotUsage usage = currentUsage(state, key, now);
    Invariants.check(
        usage.running() + delta >= 0,
        "slots-not-negative",
        () -> key + " would have a running count of " + (usage.running() + delta));
    return state.withSlots(state.slots().with(key, usage.withRunning(usage.running() + delta)));
  }
}
