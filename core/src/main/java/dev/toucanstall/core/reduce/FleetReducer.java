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

/** Decides on the platform's list and plans for the fleet. Pure. */
final class FleetReducer {

  private static final long PLAN_EVERY_NANOS = Duration.ofMillis(500).toNanos();
  private static final int MOST_OBSERVATIONS = 100;

  private FleetReducer() {}

  static Transition reduce(State state, Event.OfFleet event) {
    return switch (event) {
      case Event.ListRead read -> listRead(state, read);
    };
  }

  private static Transition listRead(State state, Event.ListRead read) {
    HashPMap<InstanceId, Observation> listed = HashTreePMap.empty();
    HashPMap<InstanceId, Long> lastSeen = state.listing().lastListedAt();
    for (Observation observation : read.listed()) {
      listed = listed.plus(observation.id(), observation);
      lastSeen = lastSeen.plus(observation.id(), read.occurredAt());
    }
    PlatformListing next =
        new PlatformListing(
            listed, lastSeen, read.occurredAt(), true, state.listing().planningDueAt());
    return Transition.of(state.withListing(next));
  }

  /** Proposes what is due for the fleet; nothing new starts while the log is out. */
  static Transition plan(State state, long now) {
    boolean due =
        now >= state.listing().planningDueAt()
            && Freshness.isLogConfirmed(state, now)
            && state.isMember()
            && !state.localMember().isStopping();
    if (!due) {
      return Transition.of(state);
    }
    Transition step =
        Transition.of(state.withListing(state.listing().withPlanningDueAt(now + PLAN_EVERY_NANOS)))
            .then(s -> observe(s, now))
            .then(s -> MovePlanner.reportLoads(s, now));
    for (PoolId pool : state.appliedState().fleet().idsByPool().keySet()) {
      if (Liveness.leads(state, "pool/" + pool, now)) {
        step =
            step.then(s -> DrainPlanner.plan(s, pool, now))
                .then(s -> WavePlanner.plan(s, pool, now))
                .then(s -> MovePlanner.plan(s, pool, now));
      }
    }
    return step;
  }

  private static Transition observe(State state, long now) {
    if (!state.listing().everRead() || !Liveness.leads(state, "list", now)) {
      return Transition.of(state);
    }
    List<Observation> news = new ArrayList<>();
    for (Observation listed : state.listing().listed().values()) {
      FleetInstance known = state.appliedState().fleet().get(listed.id());
      boolean newer = known == null || listed.incarnation() >= known.observed().incarnation();
      if (newer && (known == null || !known.observed().equals(listed))) {
        news.add(listed);
      }
    }
    news.addAll(missing(state, now));
    if (news.isEmpty()) {
      return Transition.of(state);
    }
    news.sort((a, b) -> a.id().compareTo(b.id()));
    List<Observation> some = news.subList(0, Math.min(news.size(), MOST_OBSERVATIONS));
    return OutboxRules.append(state, new RecordBody.InstancesObserved(some), now);
  }

  private static List<Observation> missing(State state, long now) {
    List<Observation> missing = new ArrayList<>();
    long patience = state.localMember().timing().downAfter();
    for (Map.Entry<InstanceId, FleetInstance> entry :
        state.appliedState().fleet().instances().entrySet()) {
      Observation known = entry.getValue().observed();
      Long seen = state.listing().lastListedAt().get(entry.getKey());
      long since = seen == null ? state.localMember().startedAt() : seen;
      boolean listed = state.listing().listed().containsKey(entry.getKey());
      if (!listed && known.condition() != Condition.DOWN && now - since > patience) {
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
