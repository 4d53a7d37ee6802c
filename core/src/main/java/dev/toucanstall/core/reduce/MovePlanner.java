package dev.toucanstall.core.reduce;

import dev.toucanstall.core.effect.Effect;
import dev.toucanstall.core.fold.DrainRules;
import dev.toucanstall.core.fold.FleetInstance;
import dev.toucanstall.core.fold.InstancePhase;
import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.model.PoolId;
import dev.toucanstall.core.model.Rendezvous;
import dev.toucanstall.core.peer.PeerMessage;
import dev.toucanstall.core.peer.PoolLoad;
import dev.toucanstall.core.record.DrainReason;
import dev.toucanstall.core.record.RecordBody;
import dev.toucanstall.core.settings.Pool;
import dev.toucanstall.core.state.Decisions.Decision;
import dev.toucanstall.core.state.PeerView;
import dev.toucanstall.core.state.State;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Moves instances between a spare pool and pools that need them. Pure.
 *
 * <p>Bursts of seconds are met by queues and loans. A move follows need that lasts: a pool takes an
 * instance when its work, waiting and running, exceeds its slots, and gives it back after a longer
 * time below half of them, so that moves do not go back and forth.
 */
final class MovePlanner {

  private static final long TAKE_PAUSE_NANOS = Duration.ofSeconds(15).toNanos();
  private static final long GIVE_PAUSE_NANOS = Duration.ofSeconds(60).toNanos();
  private static final double GIVE_BELOW = 0.5;
  private static final String RULE_TAKE = "move-take";
  private static final String RULE_GIVE = "move-give";

  private MovePlanner() {}

  /** Tells whether instances move to and from a pool by need. */
  static boolean isAutomatic(State state, PoolId id) {
    Pool pool = state.appliedState().settings().pools().get(id);
    return pool != null && (pool.autoscale() || pool.spare());
  }

  /** Sends this instance's load to the members that plan for its pools. */
  static Transition reportLoads(State state, long now) {
    Set<MemberId> live = Liveness.live(state, now);
    Map<MemberId, List<PoolLoad>> byPlanner = new TreeMap<>();
    state
        .traffic()
        .queuesByPool()
        .forEach(
            (pool, queue) -> {
              boolean reported = isAutomatic(state, pool);
              if (reported) {
                MemberId planner = Rendezvous.rank("pool/" + pool, live).get(0);
                PoolLoad load = new PoolLoad(pool, queue.running(), queue.waiting());
                byPlanner.merge(
                    planner,
                    List.of(load),
                    (a, b) -> Stream.concat(a.stream(), b.stream()).toList());
              }
            });
    Transition step = Transition.of(state);
    for (var entry : byPlanner.entrySet()) {
      if (!entry.getKey().equals(state.localId())) {
        step =
            step.plus(
                new Effect.Send(entry.getKey(), new PeerMessage.LoadsReported(entry.getValue())));
      }
    }
    return step;
  }

  static Transition plan(State state, PoolId id, long now) {
    Pool pool = state.appliedState().settings().pools().get(id);
    if (pool == null || !pool.autoscale()) {
      return Transition.of(state);
    }
    int slots =
        state.appliedState().fleet().instancesInPool(id).stream()
            .filter(FleetInstance::isAvailable)
            .mapToInt(instance -> instance.observed().slots())
            .sum();
    int work = work(state, id);
    if (work > slots) {
      return take(state, pool, work, slots, now);
    }
    return work < slots * GIVE_BELOW ? give(state, pool, work, slots, now) : Transition.of(state);
  }

  private static int work(State state, PoolId id) {
    int own = state.traffic().queueOf(id).running() + state.traffic().queueOf(id).waiting();
    int others =
        state.peers().views().values().stream()
            .map(PeerView::loads)
            .flatMap(Collection::stream)
            .filter(load -> load.pool().equals(id))
            .mapToInt(load -> load.running() + load.waiting())
            .sum();
    return own + others;
  }

  private static Transition take(State state, Pool pool, int work, int slots, long now) {
    if (isPaused(state, pool.id(), TAKE_PAUSE_NANOS, now)) {
      return Transition.of(state);
    }
    DrainReason reason = new DrainReason.Move(pool.id());
    boolean underWay =
        state.appliedState().fleet().instances().values().stream()
            .anyMatch(instance -> isMovingTo(instance, pool.id()));
    Optional<FleetInstance> spare =
        state.appliedState().settings().pools().values().stream()
            .filter(other -> other.spare() && !other.id().equals(pool.id()))
            .flatMap(other -> state.appliedState().fleet().instancesInPool(other.id()).stream())
            .filter(FleetInstance::isAvailable)
            .filter(i -> DrainRules.refusalReason(state.appliedState(), i, reason).isEmpty())
            .findFirst();
    if (underWay || spare.isEmpty()) {
      return Transition.of(state);
    }
    return move(state, spare.get(), reason, RULE_TAKE, pool.id(), work, slots, now);
  }

  private static boolean isMovingTo(FleetInstance instance, PoolId pool) {
    DrainReason reason =
        switch (instance.phase()) {
          case InstancePhase.Draining draining -> draining.reason();
          case InstancePhase.Empty empty -> empty.reason();
          case InstancePhase.Serving serving -> null;
        };
    return reason instanceof DrainReason.Move move && move.to().equals(pool);
  }

  private static Transition give(State state, Pool pool, int work, int slots, long now) {
    if (isPaused(state, pool.id(), GIVE_PAUSE_NANOS, now)) {
      return Transition.of(state);
    }
    Map<FleetInstance, PoolId> homes = new HashMap<>();
    for (FleetInstance instance : state.appliedState().fleet().instancesInPool(pool.id())) {
      PoolId home = state.appliedState().settings().placements().get(instance.id());
      if (home != null && !home.equals(pool.id()) && instance.isAvailable()) {
        homes.put(instance, home);
      }
    }
    return homes.entrySet().stream()
        .filter(
            e ->
                DrainRules.refusalReason(
                        state.appliedState(), e.getKey(), new DrainReason.Move(e.getValue()))
                    .isEmpty())
        .min((a, b) -> a.getKey().id().compareTo(b.getKey().id()))
        .map(
            e ->
                move(
                    state,
                    e.getKey(),
                    new DrainReason.Move(e.getValue()),
                    RULE_GIVE,
                    pool.id(),
                    work,
                    slots,
                    now))
        .orElseGet(() -> Transition.of(state));
  }

  /** The pool has had no move for a time, and its need has lasted for that time. */
  private static boolean isPaused(State state, PoolId pool, long pause, long now) {
    String subject = "pool/" + pool;
    return now - state.localMember().startedAt() < pause
        || state.diagnostics().decisions().entries().descendingMap().values().stream()
            .takeWhile(decision -> now - decision.decidedAt() < pause)
            .map(Decision::subject)
            .anyMatch(subject::equals);
  }

  private static Transition move(
      State state,
      FleetInstance instance,
      DrainReason reason,
      String rule,
      PoolId pool,
      int work,
      int slots,
      long now) {
    return OutboxRules.append(state, new RecordBody.DrainStarted(instance.id(), reason), now)
        .then(
            s ->
                Journaling.decide(
                    s,
                    now,
                    "pool/" + pool,
                    rule,
                    "moves %s: %d requests, %d slots".formatted(instance.id(), work, slots)));
  }
}
