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

/** Chooses the instance that a request runs on, by free slots and learned health. Stateless. */
final class Placement {

  private Placement() {}

  /** Returns the instance of a pool with the most free slots, null if none can start a request. */
  static @Nullable FleetInstance choose(
      State state, PoolId pool, List<InstanceId> avoided, long turn, long now) {
    Fleet fleet = state.appliedState().fleet();
    FleetInstance best = null;
    int bestFree = 0;
    long bestTurn = 0;
    int place = 0;
    var ids = fleet.idsInPool(pool);
    for (InstanceId id : ids) {
      FleetInstance instance = fleet.get(id);
      place++;
      if (instance == null || !mayStart(state, instance, now) || avoided.contains(id)) {
        continue;
      }
      int free = SlotRules.current(state, new SlotKey.OfInstance(id), now).freeSlots(now);
      long order = Math.floorMod(place + turn, ids.size());
      if (free > bestFree || (free == bestFree && best != null && order < bestTurn)) {
        best = instance;
        bestFree = free;
        bestTurn = order;
      }
    }
    return best;
  }

  /** Tells whether an instance may get a request at all. */
  static boolean mayStart(State state, FleetInstance instance, long now) {
    return instance.isAvailable()
        && isListedUp(state, instance)
        && state.healthOf(instance.id()).acceptsRequest(now);
  }

  /** An instance that this one's own list says is leaving gets nothing, ahead of the record. */
  private static boolean isListedUp(State state, FleetInstance instance) {
    Observation listed = state.listing().listed().get(instance.id());
    return listed == null || listed.condition() == Condition.UP;
  }

  /** Returns how many requests this instance may run in a pool. */
  static int capacity(State state, PoolId pool, long now) {
    int sum = 0;
    for (InstanceId id : state.appliedState().fleet().idsInPool(pool)) {
      FleetInstance instance = state.appliedState().fleet().get(id);
      if (instance != null && instance.isAvailable()) {
        sum += Math.max(0, SlotRules.current(state, new SlotKey.OfInstance(id), now).capacity(now));
      }
    }
    return sum;
  }
}
