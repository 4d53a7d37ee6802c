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

/** What several families of events do with requests. Stateless. */
final class RequestRules {

  private static final long RETRY_AFTER_MILLIS = 1_000;

  private RequestRules() {}

  /** Puts a request into its pool's queue and starts what can start. */
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
      return refuse(state, request, queueFull(service), now);
    }
    if (isTooLate(state, queue, service.pool(), request, now)) {
      return refuse(state, request, tooLate(queue), now);
    }
    return Transition.of(waiting(state, request, service.pool()))
        .then(s -> Pump.pump(s, service.pool(), now));
  }

  private static State waiting(State state, Request request, PoolId pool) {
    Request next = request.withStage(new RequestStage.Waiting(pool));
    PoolQueue queue = state.traffic().queueOf(pool).plusWaiting(next);
    return state.withTraffic(state.traffic().with(next).withQueue(pool, queue));
  }

  private static Refusal queueFull(Service service) {
    return Refusal.notRun(
        RefusalCode.QUEUE_FULL,
        "The team's queue of service \"%s\" is full.".formatted(service.id()),
        RETRY_AFTER_MILLIS);
  }

  private static Refusal tooLate(PoolQueue queue) {
    return Refusal.notRun(
        RefusalCode.TOO_LATE,
        "The request would not start before its deadline; %d wait ahead of it."
            .formatted(queue.waiting()),
        RETRY_AFTER_MILLIS);
  }

  private static boolean isTooLate(
      State state, PoolQueue queue, PoolId pool, Request request, long now) {
    if (queue.waiting() == 0 || queue.meanRunNanos() == 0) {
      return false;
    }
    int slots = Math.max(1, Placement.capacity(state, pool, now));
    int ahead = queue.waitingOf(request.team());
    double expected = queue.meanRunNanos() * (ahead + 1) / slots;
    return now + expected + queue.meanRunNanos() > request.arrival().deadline();
  }

  /**
   * Refuses a request and forgets it. After an attempt that may have run it, the verdict says so
   * whatever the reason of the refusal.
   */
  static Transition refuse(State state, Request request, Refusal reason, long now) {
    Refusal refusal = request.mayHaveRun() ? reason.mayHaveRun() : reason;
    State left = state.withTraffic(leave(state.traffic(), request).without(request));
    Transition step =
        Transition.of(
            left,
            new Effect.Refuse(request.number(), refusal),
            countRefused(request, refusal.code(), now));
    return request.needsClaim() && !request.mayHaveRun()
        ? step.then(s -> ClaimReducer.release(s, request, now))
        : step;
  }

  /** Counts the end of a request that was refused. */
  static Effect countRefused(Request request, RefusalCode code, long now) {
    ObjectiveOutcome ending =
        code.isCallersFault() ? ObjectiveOutcome.CALLERS_FAULT : ObjectiveOutcome.BAD;
    return new Effect.CountRequest(
        request.team(), request.service(), now - request.arrivedAt(), false, ending, code.text());
  }

  /** Counts the end of a request that ran; batch work is never late. */
  static Effect countRun(
      State state, Request request, long startedAt, boolean succeeded, String reason) {
    long waited = startedAt - request.arrivedAt();
    Objective objective = state.appliedState().settings().objective(request.team());
    boolean inTime =
        request.arrival().urgency() == Urgency.BATCH
            || waited <= Duration.ofMillis(objective.startMillis()).toNanos();
    ObjectiveOutcome ending =
        succeeded ? (inTime ? ObjectiveOutcome.GOOD : ObjectiveOutcome.LATE) : ObjectiveOutcome.BAD;
    return new Effect.CountRequest(request.team(), request.service(), waited, true, ending, reason);
  }

  /** Takes a request out of the queue that it waits in, if any. */
  static Traffic leave(Traffic traffic, Request request) {
    return request.stage() instanceof RequestStage.Waiting waiting
        ? traffic.withQueue(waiting.pool(), traffic.queueOf(waiting.pool()).minusWaiting(request))
        : traffic;
  }

  /** Moves waiting requests to the pools that their services run in now. */
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
        State left = next.withTraffic(leave(next.traffic(), request));
        next = waiting(left, request, service.pool());
      }
    }
    return Transition.of(next);
  }

  /** Returns how many of this instance's requests run on an instance. */
  static int runningOn(State state, InstanceId instance) {
    return state.slots().get(new SlotKey.OfInstance(instance)).running();
  }
}
