package dev.toucanstall.core.reduce;

import dev.toucanstall.core.effect.Effect;
import dev.toucanstall.core.fold.AppliedState;
import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.model.ObjectiveOutcome;
import dev.toucanstall.core.model.PoolId;
import dev.toucanstall.core.model.Refusal;
import dev.toucanstall.core.model.RefusalCode;
import dev.toucanstall.core.model.Urgency;
import dev.toucanstall.core.peer.SlotKey;
import dev.toucanstall.core.settings.Objective;
import dev.toucanstall.core.settings.Service;
import dev.toucanstall.core.state.PoolQueue;
import dev.toucanstall.core.state.Request;
import dev.toucanstall.core.state.RequestStage;
import dev.toucanstall.core.state.State;
import dev.toucanstall.core.state.Traffic;
import java.time.Duration;

/** Rules on requests that several reducers share. Stateless. */
final class RequestRules {

  private static final long RETRY_AFTER_MILLIS = 1_000;

  private RequestRules() {}

  /** Adds a request to the queue of its pool and dispatches the pool, or refuses the request. */
  static Transition enqueue(State state, Request request, long now) {
    Service service = state.appliedState().settings().services().get(request.service());
    if (service == null) {
      return refuse(
          state,
          request,
          Refusal.notRun(RefusalCode.SERVICE_UNKNOWN, "The service was removed."),
          now);
    }
    PoolQueue queue = state.traffic().queueOf(service.pool());
    if (queue.waitingOf(request.team()) >= service.queueLimit()) {
      return refuse(state, request, queueFullRefusal(service), now);
    }
    if (wouldMissDeadline(state, queue, service.pool(), request, now)) {
      return refuse(state, request, tooLateRefusal(queue), now);
    }
    return Transition.of(withWaiting(state, request, service.pool()))
        .then(s -> DispatchRules.dispatch(s, service.pool(), now));
  }

  private static State withWaiting(State state, Request request, PoolId pool) {
    Request next = request.withStage(new RequestStage.Waiting(pool));
    PoolQueue queue = state.traffic().queueOf(pool).plusWaiting(next);
    return state.withTraffic(state.traffic().with(next).withQueue(pool, queue));
  }

  private static Refusal queueFullRefusal(Service service) {
    return Refusal.notRun(
        RefusalCode.QUEUE_FULL,
        "The team's queue of service \"%s\" is full.".formatted(service.id()),
        RETRY_AFTER_MILLIS);
  }

  private static Refusal tooLateRefusal(PoolQueue queue) {
    return Refusal.notRun(
        RefusalCode.TOO_LATE,
        "The request would not start before its deadline; %d wait ahead of it."
            .formatted(queue.waiting()),
        RETRY_AFTER_MILLIS);
  }

  /**
   * Estimates whether a request would miss its deadline.
   *
   * <p>The estimate is the mean run time of the pool, times the team's requests up to this one,
   * divided by the slots of this entry instance in the pool, plus one mean run time for the request
   * itself. An empty queue or a pool without a measured run time never counts as too late.
   */
  private static boolean wouldMissDeadline(
      State state, PoolQueue queue, PoolId pool, Request request, long now) {
    if (queue.waiting() == 0 || queue.meanRunNanos() == 0) {
      return false;
    }
    int slots = Math.max(1, InstanceSelector.totalCapacity(state, pool, now));
    int waitingOfTeam = queue.waitingOf(request.team());
    double expectedWaitNanos = queue.meanRunNanos() * (waitingOfTeam + 1) / slots;
    return now + expectedWaitNanos + queue.meanRunNanos() > request.arrival().deadline();
  }

  /**
   * Refuses a request, removes it from the state and releases its claim.
   *
   * <p>If an earlier attempt may have run the request, the verdict says so, whatever the reason of
   * the refusal, and the claim stays: a later submission of the same id must not run it again.
   */
  static Transition refuse(State state, Request request, Refusal baseRefusal, long now) {
    Refusal refusal = request.mayHaveRun() ? baseRefusal.mayHaveRun() : baseRefusal;
    State remaining = state.withTraffic(dequeue(state.traffic(), request).without(request));
    Transition transition =
        Transition.of(
            remaining,
            new Effect.Refuse(request.number(), refusal),
            countRefusal(request, refusal.code(), now));
    return request.needsClaim() && !request.mayHaveRun()
        ? transition.then(s -> ClaimReducer.release(s, request, now))
        : transition;
  }

  static Effect countRefusal(Request request, RefusalCode code, long now) {
    ObjectiveOutcome outcome =
        code.isCallersFault() ? ObjectiveOutcome.CALLERS_FAULT : ObjectiveOutcome.BAD;
    return new Effect.CountRequest(
        request.team(), request.service(), now - request.arrivedAt(), false, outcome, code.text());
  }

  /**
   * Returns the effect that counts a request that was started. Batch requests never count as late.
   *
   * @param reason "ok", "error-answer", "answer-broken" or the code of a refusal
   */
  static Effect countStarted(
      State state, Request request, long startedAt, boolean succeeded, String reason) {
    long waitedNanos = startedAt - request.arrivedAt();
    Objective objective = state.appliedState().settings().objective(request.team());
    boolean inTime =
        request.arrival().urgency() == Urgency.BATCH
            || waitedNanos <= Duration.ofMillis(objective.startMillis()).toNanos();
    ObjectiveOutcome outcome =
        succeeded ? (inTime ? ObjectiveOutcome.GOOD : ObjectiveOutcome.LATE) : ObjectiveOutcome.BAD;
    return new Effect.CountRequest(
        request.team(), request.service(), waitedNanos, true, outcome, reason);
  }

  /** Removes a request from the queue in which it waits; does nothing if it does not wait. */
  static Traffic dequeue(Traffic traffic, Request request) {
    return request.stage() instanceof RequestStage.Waiting waiting
        ? traffic.withQueue(waiting.pool(), traffic.queueOf(waiting.pool()).minusWaiting(request))
        : traffic;
  }

  /** Moves waiting requests to the current pools of their services after the settings changed. */
  static Transition requeueMoved(State state, AppliedState before) {
    if (state.appliedState().settings().equals(before.settings())) {
      return Transition.of(state);
    }
    State next = state;
    for (Request request : state.traffic().requests().values()) {
      Service service = state.appliedState().settings().services().get(request.service());
      boolean moved =
          request.stage() instanceof RequestStage.Waiting waiting
              && service != null
              && !waiting.pool().equals(service.pool());
      if (moved && service != null) {
        State dequeued = next.withTraffic(dequeue(next.traffic(), request));
        next = withWaiting(dequeued, request, service.pool());
      }
    }
    return Transition.of(next);
  }

  /** Returns the number of requests of this entry instance that run on an instance. */
  static int runningOn(State state, InstanceId instance) {
    return state.slots().get(new SlotKey.OfInstance(instance)).running();
  }
}
