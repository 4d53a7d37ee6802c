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
 * Dispatches queued requests to instances. Pure.
 *
 * <p>Among the teams with free slots, a team with urgent requests is served first, then the team
 * with the lowest ratio of running requests to its share. A full pool thereby approaches weighted
 * max-min fairness, and an idle pool is open to any team.
 */
final class DispatchRules {

  /** Time before its deadline at which a batch request becomes urgent. */
  static final long BATCH_DUE_MARGIN_NANOS = Duration.ofSeconds(10).toNanos();

  private DispatchRules() {}

  static Transition dispatchAll(State state, long now) {
    Transition transition = Transition.of(state);
    for (Map.Entry<PoolId, PoolQueue> entry : state.traffic().queuesByPool().entrySet()) {
      if (entry.getValue().waiting() > 0) {
        transition = transition.then(s -> dispatch(s, entry.getKey(), now));
      }
    }
    return transition;
  }

  /**
   * Starts requests of a pool until no team or no instance has a free slot, then requests loans of
   * the missing slots from peers. Does nothing unless work may be admitted.
   */
  static Transition dispatch(State state, PoolId pool, long now) {
    long freshUntil = Freshness.freshUntil(state, now);
    if (freshUntil <= now || state.traffic().queueOf(pool).waiting() == 0) {
      return Transition.of(state);
    }
    Transition transition = Transition.of(SlotRules.refreshPoolAllocations(state, pool, now));
    while (true) {
      State current = transition.state();
      TeamId team = nextTeam(current, pool, now);
      if (team == null) {
        return transition.then(s -> requestTeamSlots(s, pool, now));
      }
      Request request = nextRequest(current, pool, team, now);
      if (!isKeyValid(current, request)) {
        transition = transition.then(s -> refuseWithdrawnKey(s, request, now));
        continue;
      }
      FleetInstance instance = selectInstance(current, pool, request, now);
      if (instance == null) {
        return transition.then(s -> requestInstanceSlots(s, pool, now));
      }
      transition = transition.then(s -> startRequest(s, request, instance, freshUntil, now));
    }
  }

  /** Selects an instance on which the request has not failed, or any other if there is none. */
  private static @Nullable FleetInstance selectInstance(
      State state, PoolId pool, Request request, long now) {
    FleetInstance preferred =
        InstanceSelector.select(state, pool, request.failedOn(), request.number(), now);
    return preferred != null || request.failedOn().isEmpty()
        ? preferred
        : InstanceSelector.select(state, pool, List.of(), request.number(), now);
  }

  /** Returns the team's next request; the team must have one in the queue. */
  private static Request nextRequest(State state, PoolId pool, TeamId team, long now) {
    TeamQueue queue = state.traffic().queueOf(pool).queuesByTeam().get(team);
    Request request =
        queue == null ? null : state.traffic().get(queue.firstNumber(now, BATCH_DUE_MARGIN_NANOS));
    if (request == null) {
      throw new IllegalStateException(
          "queue of team \"%s\" in pool \"%s\" refers to no known request".formatted(team, pool));
    }
    return request;
  }

  /** Returns the team to serve next, null if no waiting team has a free slot. */
  private static @Nullable TeamId nextTeam(State state, PoolId pool, long now) {
    PoolQueue queue = state.traffic().queueOf(pool);
    TeamId best = null;
    boolean bestUrgent = false;
    double bestRatio = 0;
    for (Map.Entry<TeamId, TeamQueue> entry : queue.queuesByTeam().entrySet()) {
      TeamId team = entry.getKey();
      if (SlotRules.currentUsage(state, new SlotKey.OfTeam(team), now).freeSlots(now) <= 0) {
        continue;
      }
      boolean urgent = entry.getValue().hasUrgent(now, BATCH_DUE_MARGIN_NANOS);
      double ratio = (double) queue.runningOf(team) / state.appliedState().settings().share(team);
      boolean better =
          best == null || (urgent && !bestUrgent) || (urgent == bestUrgent && ratio < bestRatio);
      if (better) {
        best = team;
        bestUrgent = urgent;
        bestRatio = ratio;
      }
    }
    return best;
  }

  /** Tells whether the key of a request still belongs to its team, or the request needs none. */
  private static boolean isKeyValid(State state, Request request) {
    KeyDigest key = request.arrival().keyDigest();
    if (key == null) {
      return request.team().equals(Team.ANONYMOUS);
    }
    KeyGrant grant = state.appliedState().settings().keys().get(key);
    return grant != null && grant.team().equals(request.team());
  }

  private static Transition refuseWithdrawnKey(State state, Request request, long now) {
    return RequestRules.refuse(
        state,
        request,
        Refusal.notRun(RefusalCode.KEY_UNKNOWN, "The key was withdrawn while the request waited."),
        now);
  }

  /**
   * Starts a request on an instance.
   *
   * <p>The first byte may be sent only while freshness holds and while every loan in use is valid.
   */
  private static Transition startRequest(
      State state, Request request, FleetInstance instance, long freshUntil, long now) {
    InstanceId id = instance.id();
    SlotUsage teamUsage = SlotRules.currentUsage(state, new SlotKey.OfTeam(request.team()), now);
    SlotUsage instanceUsage = SlotRules.currentUsage(state, new SlotKey.OfInstance(id), now);
    checkStartInvariants(state, request, instance, teamUsage, instanceUsage, now);
    long validUntil =
        Math.min(freshUntil, Math.min(teamUsage.latestStart(now), instanceUsage.latestStart(now)));
    PoolId pool = instance.pool();
    Request running = request.withStage(new RequestStage.Running(pool, id, now));
    PoolQueue queue =
        state.traffic().queueOf(pool).minusWaiting(request).plusRunning(request.team());
    State started =
        SlotRules.countStart(
            state.withTraffic(state.traffic().with(running).withQueue(pool, queue)),
            request.team(),
            id,
            now);
    return Transition.of(
        HealthRules.recordStart(started, id),
        new Effect.StartAttempt(
            request.number(),
            request.team(),
            id,
            instance.observed().address(),
            validUntil,
            request.arrival().deadline(),
            request.latestEndAt(state.localMember().timing())));
  }

  private static void checkStartInvariants(
      State state,
      Request request,
      FleetInstance instance,
      SlotUsage teamUsage,
      SlotUsage instanceUsage,
      long now) {
    Invariants.check(
        teamUsage.freeSlots(now) > 0,
        "team-within-limit",
        () ->
            "team \"%s\" has no free slot with %d running requests"
                .formatted(request.team(), teamUsage.running()));
    Invariants.check(
        instanceUsage.freeSlots(now) > 0,
        "instance-within-slots",
        () ->
            "instance \"%s\" has no free slot with %d running requests"
                .formatted(instance.id(), instanceUsage.running()));
    Invariants.check(
        instance.phase().takesWork(),
        "no-work-while-leaving",
        () -> "instance \"%s\" is in phase %s".formatted(instance.id(), instance.phase()));
    Invariants.check(
        Freshness.isFresh(state, now),
        "admit-only-while-fresh",
        () -> "the freshness time has passed");
    Invariants.check(
        request.stage() instanceof RequestStage.Waiting,
        "start-once",
        () -> "request is in stage " + request.stage());
  }

  private static Transition requestTeamSlots(State state, PoolId pool, long now) {
    Transition transition = Transition.of(state);
    for (Map.Entry<TeamId, TeamQueue> entry :
        state.traffic().queueOf(pool).queuesByTeam().entrySet()) {
      SlotKey key = new SlotKey.OfTeam(entry.getKey());
      int waiting = entry.getValue().size();
      transition = transition.then(s -> LoanReducer.requestLoan(s, key, waiting, now));
    }
    return transition;
  }

  /** Requests a loan of one slot on each available instance, at most as many as requests wait. */
  private static Transition requestInstanceSlots(State state, PoolId pool, long now) {
    List<InstanceId> candidates =
        state.appliedState().fleet().instancesInPool(pool).stream()
            .filter(instance -> InstanceSelector.acceptsRequests(state, instance, now))
            .map(FleetInstance::id)
            .toList();
    int waiting = state.traffic().queueOf(pool).waiting();
    Transition transition = Transition.of(state);
    for (InstanceId id : candidates.subList(0, Math.min(waiting, candidates.size()))) {
      transition =
          transition.then(s -> LoanReducer.requestLoan(s, new SlotKey.OfInstance(id), 1, now));
    }
    return transition;
  }
}
