package dev.toucanstall.core.reduce;

import dev.toucanstall.core.event.Event;
import dev.toucanstall.core.fold.FleetInstance;
import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.model.PoolId;
import dev.toucanstall.core.record.Condition;
import dev.toucanstall.core.record.Observation;
import dev.toucanstall.core.record.RecordBody;
import dev.toucanstall.core.state.PlatformListing;
import dev.toucanstall.core.state.State;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.pcollections.HashPMap;
import org.pcollections.HashTreePMap;

/** Reducer of the platform's list of instances; proposes records on the fleet. Pure. */
final class FleetReducer {

  private static final long PLAN_INTERVAL_NANOS = Duration.ofMillis(500).toNanos();
  private static final int MAX_OBSERVATIONS_PER_RECORD = 100;

  private FleetReducer() {}

  static Transition reduce(State state, Event.OfFleet event) {
    return switch (event) {
      case Event.ListRead read -> handleListRead(state, read);
    };
  }

  private static Transition handleListRead(State state, Event.ListRead read) {
    HashPMap<InstanceId, Observation> listed = HashTreePMap.empty();
    HashPMap<InstanceId, Long> lastListedAt = state.listing().lastListedAt();
    for (Observation observation : read.listed()) {
      listed = listed.plus(observation.id(), observation);
      lastListedAt = lastListedAt.plus(observation.id(), read.occurredAt());
    }
    PlatformListing next =
        new PlatformListing(
            listed, lastListedAt, read.occurredAt(), true, state.listing().planningDueAt());
    return Transition.of(state.withListing(next));
  }

  /**
   * Proposes changes of the fleet, at a fixed interval. Nothing is proposed while the log is not
   * confirmed, or while this entry instance is not an active member or is stopping.
   */
  static Transition plan(State state, long now) {
    boolean due =
        now >= state.listing().planningDueAt()
            && Freshness.isLogConfirmed(state, now)
            && state.isMember()
            && !state.localMember().isStopping();
    if (!due) {
      return Transition.of(state);
    }
    Transition transition =
        Transition.of(
                state.withListing(state.listing().withPlanningDueAt(now + PLAN_INTERVAL_NANOS)))
            .then(s -> proposeObservations(s, now))
            .then(s -> MovePlanner.reportLoads(s, now));
    for (PoolId pool : state.appliedState().fleet().idsByPool().keySet()) {
      if (Liveness.isCoordinator(state, "pool/" + pool, now)) {
        transition =
            transition
                .then(s -> DrainPlanner.plan(s, pool, now))
                .then(s -> WavePlanner.plan(s, pool, now))
                .then(s -> MovePlanner.plan(s, pool, now));
      }
    }
    return transition;
  }

  /**
   * Appends the observations that differ from the fleet in the log, if this entry instance
   * coordinates the list. One record holds a bounded number of them; the rest follows with the next
   * plans.
   */
  private static Transition proposeObservations(State state, long now) {
    if (!state.listing().everRead() || !Liveness.isCoordinator(state, "list", now)) {
      return Transition.of(state);
    }
    List<Observation> changed = new ArrayList<>();
    for (Observation listed : state.listing().listed().values()) {
      FleetInstance known = state.appliedState().fleet().get(listed.id());
      boolean newer = known == null || listed.incarnation() >= known.observed().incarnation();
      if (newer && (known == null || !known.observed().equals(listed))) {
        changed.add(listed);
      }
    }
    changed.addAll(findMissing(state, now));
    if (changed.isEmpty()) {
      return Transition.of(state);
    }
    changed.sort((a, b) -> a.id().compareTo(b.id()));
    List<Observation> batch =
        changed.subList(0, Math.min(changed.size(), MAX_OBSERVATIONS_PER_RECORD));
    return OutboxRules.append(state, new RecordBody.InstancesObserved(batch), now);
  }

  /**
   * Returns observations that mark as down the instances that have been off the list for too long.
   *
   * <p>For an instance that was never on the list as read here, the time counts from the start of
   * this process.
   */
  private static List<Observation> findMissing(State state, long now) {
    List<Observation> missing = new ArrayList<>();
    long timeout = state.localMember().timing().downAfter();
    for (Map.Entry<InstanceId, FleetInstance> entry :
        state.appliedState().fleet().instances().entrySet()) {
      Observation known = entry.getValue().observed();
      Long lastListedAt = state.listing().lastListedAt().get(entry.getKey());
      long since = lastListedAt == null ? state.localMember().startedAt() : lastListedAt;
      boolean listed = state.listing().listed().containsKey(entry.getKey());
      if (!listed && known.condition() != Condition.DOWN && now - since > timeout) {
        missing.add(
            new Observation(
                known.id(),
                known.incarnation(),
                known.address(),
                known.datacentre(),
                known.domain(),
                known.slots(),
                Condition.DOWN));
      }
    }
    return missing;
  }
}
