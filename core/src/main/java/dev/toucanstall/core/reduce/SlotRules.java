package dev.toucanstall.core.reduce;

import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.model.PoolId;
import dev.toucanstall.core.model.TeamId;
import dev.toucanstall.core.peer.SlotKey;
import dev.toucanstall.core.state.SlotUsage;
import dev.toucanstall.core.state.State;

/** Keeps count of the slots that this instance uses. Stateless. */
final class SlotRules {

  private SlotRules() {}

  /** Returns the use of slots with its home share worked out by the present split. */
  static SlotUsage current(State state, SlotKey key, long now) {
    SlotUsage use = state.slots().get(key);
    long version = state.slots().allocationVersion();
    return use.allocationVersion() == version
        ? use
        : use.withAllocation(SplitRules.home(state, key, now), version);
  }

  /** Works out the home shares of a pool's instances where the split has changed since. */
  static State refreshPool(State state, PoolId pool, long now) {
    long version = state.slots().allocationVersion();
    State next = state;
    for (InstanceId id : state.appliedState().fleet().idsInPool(pool)) {
      SlotKey key = new SlotKey.OfInstance(id);
      if (next.slots().get(key).allocationVersion() != version) {
        next = next.withSlots(next.slots().with(key, current(next, key, now)));
      }
    }
    return next;
  }

  /** Counts a start under both its team's and its instance's slots. */
  static State start(State state, TeamId team, InstanceId instance, long now) {
    return change(
        change(state, new SlotKey.OfTeam(team), 1, now), new SlotKey.OfInstance(instance), 1, now);
  }

  /** Counts an end under both its team's and its instance's slots. */
  static State end(State state, TeamId team, InstanceId instance, long now) {
    return change(
        change(state, new SlotKey.OfTeam(team), -1, now),
        new SlotKey.OfInstance(instance),
        -1,
        now);
  }

  private static State change(State state, SlotKey key, int by, long now) {
    SlotUsage use = current(state, key, now);
    Invariants.check(
        use.running() + by >= 0,
        "slots-not-negative",
        () -> key + " would run " + (use.running() + by));
    return state.withSlots(state.slots().with(key, use.withRunning(use.running() + by)));
  }
}
