package dev.toucanstall.core.reduce;

import dev.toucanstall.core.effect.Effect;
import dev.toucanstall.core.fold.FleetInstance;
import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.model.KeyDigest;
import dev.toucanstall.core.model.PoolId;
import dev.toucanstall.core.model.Refusal;
import dev.toucanstall.core.model.RefusalCode;
import dev.toucanstall.core.model.TeamId;
import dev.toucanstall.core.peer.SlotKey;
import dev.toucanstall.core.settings.KeyGrant;
import dev.toucanstall.core.settings.Team;
import dev.toucanstall.core.state.PoolQueue;
import dev.toucanstall.core.state.Request;
import dev.toucanstall.core.state.RequestStage;
import dev.toucanstall.core.state.SlotUsage;
import dev.toucanstall.core.state.State;
import dev.toucanstall.core.state.TeamQueue;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Starts waiting requests. Pure.
 *
 * <p>Among the teams that may run more, one with urgent work goes first, then the one that uses the
 * least of its share; so a full pool comes near the weighted max-min shares and an idle one is used
 * by whoever waits.
 */
final class Pump {

  /** How long before its deadline a batch request becomes urgent. */
  static final long DUE_MARGIN_NANOS = Duration.ofSeconds(10).toNanos();

  private Pump() {}

  /** Starts what can start in all pools with waiting requests. */
  static Transition pumpAll(State state, long now) {
    Transition step = Transition.of(state);
    for (Map.Entry<PoolId, PoolQueue> entry : state.traffic().queuesByPool().entrySet()) {
      if (entry.getValue().waiting() > 0) {
        step = step.then(s -> pump(s, entry.getKey(), now));
      }
    }
    return step;
  }

  /** Starts what can start in a pool. */
  static Transition pump(State state, PoolId pool, long now) {
    long freshUntil = Freshness.freshUntil(state, now);
    if (freshUntil <= now || state.traffic().queueOf(pool).waiting() == 0) {
      return Transition.of(state);
    }
    Transition step = Transition.of(SlotRules.refreshPool(state, pool, now));
    while (true) {
      State current = step.state();
      TeamId team = nextTeam(current, pool, now);
      if (team == null) {
        return step.then(s -> askForTeamSlots(s, pool, now));
      }
      Request request = first(current, pool, team, now);
      if (!isKeyInForce(current, request)) {
        step = step.then(s -> refuseWithdrawn(s, request, now));
        continue;
      }
      FleetInstance instance = chooseFor(current, pool, request, now);
      if (instance == null) {
        return step.then(s -> askForInstanceSlots(s, pool, now));
      }
      step = step.then(s -> start(s, request, instance, freshUntil, now));
    }
  }

  private static @Nullable FleetInstance chooseFor(
      State state, PoolId pool, Request request, long now) {
    FleetInstance other = Placement.choose(state, pool, request.failedOn(), request.number(), now);
    return other != null || request.failedOn().isEmpty()
        ? other
        : Placement.choose(state, pool, List.of(), request.number(), now);
  }

  private static Request first(State state, PoolId pool, TeamId team, long now) {
    TeamQueue queue = state.traffic().queueOf(pool).queuesByTeam().get(team);
    Request request =
        queue == null ? null : state.traffic().get(queue.firstNumber(now, DUE_MARGIN_NANOS));
    if (request == null) {
      throw new IllegalStateException(
          "queue of team \"%s\" in pool \"%s\" names no request".formatted(team, pool));
    }
    return request;
  }

  private static @Nullable TeamId nextTeam(State state, PoolId pool, long now) {
    PoolQueue queue = state.traffic().queueOf(pool);
    TeamId best = null;
    boolean bestUrgent = false;
    double bestUse = 0;
    for (Map.Entry<TeamId, TeamQueue> entry : queue.queuesByTeam().entrySet()) {
      TeamId team = entry.getKey();
      if (SlotRules.current(state, new SlotKey.OfTeam(team), now).freeSlots(now) <= 0) {
        continue;
      }
      boolean urgent = entry.getValue().hasUrgent(now, DUE_MARGIN_NANOS);
      double use = (double) queue.runningOf(team) / state.appliedState().settings().share(team);
      boolean better =
          best == null || (urgent && !bestUrgent) || (urgent == bestUrgent && use < bestUse);
      if (better) {
        best = team;
        bestUrgent = urgent;
        bestUse = use;
      }
    }
    return best;
  }

  private static boolean isKeyInForce(State state, Request request) {
    KeyDigest key = request.arrival().keyDigest();
    if (key == null) {
      return request.team().equals(Team.ANONYMOUS);
    }
    KeyGrant grant = state.appliedState().settings().keys().get(key);
    return grant != null && grant.team().equals(request.team());
  }

  private static Transition refuseWithdrawn(State state, Request request, long now) {
    return RequestRules.refuse(
        state,
        request,
        Refusal.notRun(RefusalCode.KEY_UNKNOWN, "The key was withdrawn while the request waited."),
        now);
  }

  private static Transition start(
      State state, Request request, FleetInstance instance, long freshUntil, long now) {
    InstanceId id = instance.id();
    SlotUsage ofTeam = SlotRules.current(state, new SlotKey.OfTeam(request.team()), now);
    SlotUsage ofInstance = SlotRules.current(state, new SlotKey.OfInstance(id), now);
    checkStart(state, request, instance, ofTeam, ofInstance, now);
    long validUntil =
        Math.min(freshUntil, Math.min(ofTeam.latestStart(now), ofInstance.latestStart(now)));
    PoolId pool = instance.pool();
    Request running = request.withStage(new RequestStage.Running(pool, id, now));
    PoolQueue queue =
        state.traffic().queueOf(pool).minusWaiting(request).plusRunning(request.team());
    State counted =
        SlotRules.start(
            state.withTraffic(state.traffic().with(running).withQueue(pool, queue)),
            request.team(),
            id,
            now);
    return Transition.of(
        HealthRules.started(counted, id),
        new Effect.StartAttempt(
            request.number(),
            request.team(),
            id,
            instance.observed().address(),
            validUntil,
            request.arrival().deadline(),
            request.latestEndAt(state.localMember().timing())));
  }

  private static void checkStart(
      State state,
      Request request,
      FleetInstance instance,
      SlotUsage ofTeam,
      SlotUsage ofInstance,
      long now) {
    Invariants.check(
        ofTeam.freeSlots(now) > 0,
        "team-within-limit",
        () -> "team %s runs %d".formatted(request.team(), ofTeam.running()));
    Invariants.check(
        ofInstance.freeSlots(now) > 0,
        "instance-within-slots",
        () -> "instance %s runs %d".formatted(instance.id(), ofInstance.running()));
    Invariants.check(
        instance.phase().takesWork(),
        "no-work-while-leaving",
        () -> "instance %s is %s".formatted(instance.id(), instance.phase()));
    Invariants.check(Freshness.isFresh(state, now), "admit-only-while-fresh", () -> "not fresh");
    Invariants.check(
        request.stage() instanceof RequestStage.Waiting,
        "start-once",
        () -> "stage " + request.stage());
  }

  private static Transition askForTeamSlots(State state, PoolId pool, long now) {
    Transition step = Transition.of(state);
    for (Map.Entry<TeamId, TeamQueue> entry :
        state.traffic().queueOf(pool).queuesByTeam().entrySet()) {
      SlotKey key = new SlotKey.OfTeam(entry.getKey());
      int wanted = entry.getValue().size();
      step = step.then(s -> LoanReducer.ask(s, key, wanted, now));
    }
    return step;
  }

  private static Transition askForInstanceSlots(State state, PoolId pool, long now) {
    List<InstanceId> candidates =
        state.appliedState().fleet().instancesInPool(pool).stream()
            .filter(instance -> Placement.mayStart(state, instance, now))
            .map(FleetInstance::id)
            .toList();
    int waiting = state.traffic().queueOf(pool).waiting();
    Transition step = Transition.of(state);
    for (InstanceId id : candidates.subList(0, Math.min(waiting, candidates.size()))) {
      step = step.then(s -> LoanReducer.ask(s, new SlotKey.OfInstance(id), 1, now));
    }
    return step;
  }
}
