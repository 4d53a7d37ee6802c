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
 * Scales pools automatically by moving instances from and to spare pools. Pure.
 *
 * <p>Queues and loans absorb bursts of a few seconds; moves follow lasting demand. A pool takes an
 * instance when its waiting and running requests exceed its slots. It gives one back when they are
 * below half of its slots, and only after a longer cooldown, so that instances do not move back and
 * forth.
 */
final class MovePlanner {

  /** Minimum time between a decision on a pool and taking an instance. */
  private static final long TAKE_COOLDOWN_NANOS = Duration.ofSeconds(15).toNanos();

  /** Minimum time between a decision on a pool and giving an instance back. */
  private static final long GIVE_COOLDOWN_NANOS = Duration.ofSeconds(60).toNanos();

  /** Ratio of requests to slots below which a pool gives an instance back. */
  private static final double GIVE_BELOW_UTILIZATION = 0.5;

  private static final String RULE_TAKE = "move-take";
  private static final String RULE_GIVE = "move-give";

  private MovePlanner() {}

  /** Tells whether instances move to and from a pool automatically. */
  static boolean isAutomatic(State state, PoolId id) {
    Pool pool = state.appliedState().settings().pools().get(id);
    return pool != null && (pool.autoscale() || pool.spare());
  }

  /** Sends the load of this entry instance to the members that coordinate its pools. */
  static Transition reportLoads(State state, long now) {
    Set<MemberId> responsive = Liveness.responsiveMembers(state, now);
    Map<MemberId, List<PoolLoad>> loadsByCoordinator = new TreeMap<>();
    state
        .traffic()
        .queuesByPool()
        .forEach(
            (pool, queue) -> {
              boolean automatic = isAutomatic(state, pool);
              if (automatic) {
                MemberId coordinator = Rendezvous.rank("pool/" + pool, responsive).get(0);
                PoolLoad load = new PoolLoad(pool, queue.running(), queue.waiting());
                loadsByCoordinator.merge(
                    coordinator,
                    List.of(load),
                    (a, b) -> Stream.concat(a.stream(), b.stream()).toList());
              }
            });
    Transition transition = Transition.of(state);
    for (var entry : loadsByCoordinator.entrySet()) {
      if (!entry.getKey().equals(state.localId())) {
        transition =
            transition.plus(
                new Effect.Send(entry.getKey(), new PeerMessage.LoadsReported(entry.getValue())));
      }
    }
    return transition;
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
    int demand = demand(state, id);
    if (demand > slots) {
      return proposeTake(state, pool, demand, slots, now);
    }
    return demand < slots * GIVE_BELOW_UTILIZATION
        ? proposeGive(state, pool, demand, slots, now)
        : Transition.of(state);
  }

  /** Counts the running and waiting requests of a pool, here and as reported by peers. */
  private static int demand(State state, PoolId id) {
    int localDemand = state.traffic().queueOf(id).running() + state.traffic().queueOf(id).waiting();
    int peerDemand =
        state.peers().views().values().stream()
            .map(PeerView::loads)
            .flatMap(Collection::stream)
            .filter(load -> load.pool().equals(id))
            .mapToInt(load -> load.running() + load.waiting())
            .sum();
    return localDemand + peerDemand;
  }

  private static Transition proposeTake(State state, Pool pool, int demand, int slots, long now) {
    if (isCoolingDown(state, pool.id(), TAKE_COOLDOWN_NANOS, now)) {
      return Transition.of(state);
    }
    DrainReason reason = new DrainReason.Move(pool.id());
    boolean inProgress =
        state.appliedState().fleet().instances().values().stream()
            .anyMatch(instance -> isMovingTo(instance, pool.id()));
    Optional<FleetInstance> candidate =
        state.appliedState().settings().pools().values().stream()
            .filter(other -> other.spare() && !other.id().equals(pool.id()))
            .flatMap(other -> state.appliedState().fleet().instancesInPool(other.id()).stream())
            .filter(FleetInstance::isAvailable)
            .filter(i -> DrainRules.refusalReason(state.appliedState(), i, reason).isEmpty())
            .findFirst();
    if (inProgress || candidate.isEmpty()) {
      return Transition.of(state);
    }
    return proposeMove(state, candidate.get(), reason, RULE_TAKE, pool.id(), demand, slots, now);
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

  /** Proposes to move back the first instance by name that the settings assign to another pool. */
  private static Transition proposeGive(State state, Pool pool, int demand, int slots, long now) {
    if (isCoolingDown(state, pool.id(), GIVE_COOLDOWN_NANOS, now)) {
      return Transition.of(state);
    }
    Map<FleetInstance, PoolId> configuredPools = new HashMap<>();
    for (FleetInstance instance : state.appliedState().fleet().instancesInPool(pool.id())) {
      PoolId configuredPool = state.appliedState().settings().placements().get(instance.id());
      if (configuredPool != null && !configuredPool.equals(pool.id()) && instance.isAvailable()) {
        configuredPools.put(instance, configuredPool);
      }
    }
    return configuredPools.entrySet().stream()
        .filter(
            e ->
                DrainRules.refusalReason(
                        state.appliedState(), e.getKey(), new DrainReason.Move(e.getValue()))
                    .isEmpty())
        .min((a, b) -> a.getKey().id().compareTo(b.getKey().id()))
        .map(
            e ->
                proposeMove(
                    state,
                    e.getKey(),
                    new DrainReason.Move(e.getValue()),
                    RULE_GIVE,
                    pool.id(),
                    demand,
                    slots,
                    now))
        .orElseGet(() -> Transition.of(state));
  }

  /**
   * Tells whether a move is too early, because this process has just started or because a decision
   * on the pool was recorded within the cooldown.
   */
  private static boolean isCoolingDown(State state, PoolId pool, long cooldown, long now) {
    String subject = "pool/" + pool;
    return now - state.localMember().startedAt() < cooldown
        || state.diagnostics().decisions().entries().descendingMap().values().stream()
            .takeWhile(decision -> now - decision.decidedAt() < cooldown)
            .map(Decision::subject)
            .anyMatch(subject::equals);
  }

  private static Transition proposeMove(
      State state,
      FleetInstance instance,
      DrainReason reason,
      String rule,
      PoolId pool,
      int demand,
      int slots,
      long now) {
    return OutboxRules.append(state, new RecordBody.DrainStarted(instance.id(), reason), now)
        .then(
            s ->
                DecisionRecorder.record(
                    s,
                    now,
                    "pool/" + pool,
                    rule,
                    "moves %s: %d requests, %d slots".formatted(instance.id(), demand, slots)));
  }
}
