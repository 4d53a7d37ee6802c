package dev.toucanstall.core.reduce;

import dev.toucanstall.core.fold.Fleet;
import dev.toucanstall.core.fold.FleetInstance;
import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.model.PoolId;
import dev.toucanstall.core.peer.SlotKey;
import dev.toucanstall.core.record.Condition;
import dev.toucanstall.core.record.Observation;
import dev.toucanstall.core.state.State;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Selects the instance on which a request runs, by free slots and observed health. Stateless. */
final class InstanceSelector {

  private InstanceSelector() {}

  /**
   * Returns the available instance of a pool with the most free slots.
   *
   * @param excluded instances to leave out, such as those on which the request has failed
   * @param rotation number that rotates the order in which instances with equally many free slots
   *     are preferred, so that they share the load
   * @return null if no instance has a free slot
   */
  static @Nullable FleetInstance select(
      State state, PoolId pool, List<InstanceId> excluded, long rotation, long now) {
    Fleet fleet = state.appliedState().fleet();
    FleetInstance best = null;
    int bestFreeSlots = 0;
    long bestRank = 0;
    int position = 0;
    var ids = fleet.idsInPool(pool);
    for (InstanceId id : ids) {
      FleetInstance instance = fleet.get(id);
      position++;
      if (instance == null || !acceptsRequests(state, instance, now) || excluded.contains(id)) {
        continue;
      }
      int freeSlots = SlotRules.currentUsage(state, new SlotKey.OfInstance(id), now).freeSlots(now);
      long rank = Math.floorMod(position + rotation, ids.size());
      if (freeSlots > bestFreeSlots
          || (freeSlots == bestFreeSlots && best != null && rank < bestRank)) {
        best = instance;
        bestFreeSlots = freeSlots;
        bestRank = rank;
      }
    }
    return best;
  }

  /** Tells whether an instance may start requests, apart from its free slots. */
  static boolean acceptsRequests(State state, FleetInstance instance, long now) {
    return instance.isAvailable()
        && isListedUp(state, instance)
        && state.healthOf(instance.id()).acceptsRequest(now);
  }

  /**
   * Tells whether the platform's list, as last read here, shows an instance as up or lacks it.
   *
   * <p>An instance that is shown as leaving or down gets no requests from then on, even before the
   * log has a record of it.
   */
  private static boolean isListedUp(State state, FleetInstance instance) {
    Observation listed = state.listing().listed().get(instance.id());
    return listed == null || listed.condition() == Condition.UP;
  }

  /** Returns the number of requests that this entry instance may run at once in a pool. */
  static int totalCapacity(State state, PoolId pool, long now) {
    int sum = 0;
    for (InstanceId id : state.appliedState().fleet().idsInPool(pool)) {
      FleetInstance instance = state.appliedState().fleet().get(id);
      if (instance != null && instance.isAvailable()) {
        sum +=
            Math.max(
                0, SlotRules.currentUsage(state, new SlotKey.OfInstance(id), now).capacity(now));
      }
    }
    return sum;
  }
}
