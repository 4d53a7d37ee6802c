package dev.toucanstall.core.reduce;

import dev.toucanstall.core.effect.Effect;
import dev.toucanstall.core.event.AttemptResult;
import dev.toucanstall.core.event.Event;
import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.model.Refusal;
import dev.toucanstall.core.model.RefusalCode;
import dev.toucanstall.core.model.Verdict;
import dev.toucanstall.core.peer.SlotKey;
import dev.toucanstall.core.state.PoolQueue;
import dev.toucanstall.core.state.Request;
import dev.toucanstall.core.state.RequestStage;
import dev.toucanstall.core.state.State;
import dev.toucanstall.core.state.Traffic;
import dev.toucanstall.core.state.Traffic.AbandonedAttempt;

/**
 * Decides on ends of attempts: frees slots, judges instances, retries within a budget. Pure.
 *
 * <p>An attempt that may still run keeps its slots until the longest deadline. Only what was not
 * run is tried again for a non-idempotent request.
 */
final class AttemptReducer {

  private static final int MAX_ATTEMPTS = 3;
  private static final int SERVER_ERROR = 500;

  private AttemptReducer() {}

  static Transition end(State state, Event.AttemptEnded ended) {
    Request request = state.traffic().get(ended.number());
    boolean expected =
        request != null
            && request.stage() instanceof RequestStage.Running running
            && running.instance().equals(ended.instance());
    if (!expected || request == null) {
      return Transition.of(state);
    }
    RequestStage.Running running = (RequestStage.Running) request.stage();
    long now = ended.occurredAt();
    return Transition.of(free(state, request, running, ended.result(), now))
        .then(s -> judge(s, request, ended, now))
        .then(s -> LoanReducer.settle(s, new SlotKey.OfTeam(request.team()), now))
        .then(s -> LoanReducer.settle(s, new SlotKey.OfInstance(running.instance()), now))
        .then(s -> Pump.pump(s, running.pool(), now));
  }

  private static State free(
      State state, Request request, RequestStage.Running running, AttemptResult result, long now) {
    PoolQueue queue = state.traffic().queueOf(running.pool());
    Traffic traffic =
        state
            .traffic()
            .withQueue(
                running.pool(), queue.minusRunning(request.team(), now - running.startedAt()))
            .withRetryTokens(Traffic.RETRY_TOKENS_PER_ATTEMPT);
    long endsBy = request.latestEndAt(state.localMember().timing());
    if (mayStillRun(result) && now < endsBy) {
      AbandonedAttempt abandoned =
          new AbandonedAttempt(endsBy, request.number(), request.team(), running.instance());
      return state.withTraffic(traffic.withAbandoned(traffic.abandoned().plus(abandoned)));
    }
    return SlotRules.end(state.withTraffic(traffic), request.team(), running.instance(), now);
  }

  private static boolean mayStillRun(AttemptResult result) {
    return switch (result) {
      case AttemptResult.Failed failed -> failed.verdict() == Verdict.MAY_HAVE_RUN;
      case AttemptResult.Answered answered -> !answered.complete();
      case AttemptResult.ErrorAnswer error -> false;
      case AttemptResult.EndedLate late -> false;
      case AttemptResult.StartExpired expired -> false;
    };
  }

  private static Transition judge(
      State state, Request request, Event.AttemptEnded ended, long now) {
    InstanceId instance = ended.instance();
    return switch (ended.result()) {
      case AttemptResult.Answered answered -> answered(state, request, instance, answered, now);
      case AttemptResult.ErrorAnswer error -> error(state, request, instance, now);
      case AttemptResult.Failed failed -> failed(state, request, instance, failed, now);
      case AttemptResult.EndedLate late ->
          Transition.of(HealthRules.unjudged(state, instance))
              .then(s -> finish(s, request, false, RefusalCode.BACKEND_TIMEOUT.text(), now));
      case AttemptResult.StartExpired expired ->
          again(HealthRules.unjudged(state, instance), request, now);
    };
  }

  private static Transition answered(
      State state,
      Request request,
      InstanceId instance,
      AttemptResult.Answered answered,
      long now) {
    boolean good = answered.complete() && answered.status() < SERVER_ERROR;
    Transition judged =
        good
            ? HealthRules.succeeded(state, request, instance, now)
            : HealthRules.endedInError(state, request, instance, now);
    String reason = answered.complete() ? (good ? "ok" : "error-answer") : "answer-broken";
    return judged
        .then(s -> finish(s, request, good, reason, now))
        .plus(new Effect.EndRequest(request.number()));
  }

  private static Transition error(State state, Request request, InstanceId instance, long now) {
    Request failed = request.failedOn(instance, Verdict.RAN);
    if (mayTryAgain(state, failed, Verdict.RAN)) {
      State spent =
          HealthRules.unjudged(state.withTraffic(state.traffic().withRetryTokens(-1)), instance);
      return again(spent, failed, now);
    }
    return HealthRules.endedInError(state, failed, instance, now)
        .then(s -> finish(s, request, false, "error-answer", now))
        .plus(new Effect.PassErrorAnswer(request.number()));
  }

  private static Transition failed(
      State state, Request request, InstanceId instance, AttemptResult.Failed failure, long now) {
    Request failed = request.failedOn(instance, failure.verdict());
    Transition judged =
        failure.code() == RefusalCode.BACKEND_FAILED
            ? HealthRules.failedByInstance(state, instance, now)
            : Transition.of(HealthRules.unjudged(state, instance));
    if (mayTryAgain(state, failed, failure.verdict())) {
      return judged
          .map(s -> s.withTraffic(s.traffic().withRetryTokens(-1)))
          .then(s -> again(s, failed, now));
    }
    Refusal refusal = new Refusal(failure.code(), failure.verdict(), failure.detail(), 0);
    if (failure.verdict() == Verdict.NOT_RUN) {
      return judged.then(s -> RequestRules.refuse(s, failed, refusal, now));
    }
    return judged
        .then(s -> finish(s, request, false, failure.code().text(), now))
        .plus(new Effect.Refuse(request.number(), refusal));
  }

  private static boolean mayTryAgain(State state, Request failed, Verdict verdict) {
    boolean safe =
        verdict == Verdict.NOT_RUN
            || (failed.arrival().idempotent() && failed.arrival().replayable());
    return safe
        && failed.failedOn().size() < MAX_ATTEMPTS
        && state.traffic().retryTokens() >= 1
        && !state.localMember().isStopping();
  }

  private static Transition again(State state, Request request, long now) {
    return RequestRules.enqueue(state, request, now);
  }

  private static Transition finish(
      State state, Request request, boolean succeeded, String reason, long now) {
    long since =
        request.stage() instanceof RequestStage.Running running ? running.startedAt() : now;
    return Transition.of(
        state.withTraffic(state.traffic().without(request)),
        RequestRules.countRun(state, request, since, succeeded, reason));
  }

  /** Frees the slots of abandoned attempts whose deadline has passed. */
  static Transition freeAbandoned(State state, long now) {
    Transition step = Transition.of(state);
    while (!step.state().traffic().abandoned().isEmpty()) {
      Traffic traffic = step.state().traffic();
      AbandonedAttempt first = traffic.abandoned().first();
      if (first.latestEndAt() > now) {
        return step;
      }
      step =
          step.map(
                  s ->
                      SlotRules.end(
                          s.withTraffic(traffic.withAbandoned(traffic.abandoned().minus(first))),
                          first.team(),
                          first.instance(),
                          now))
              .then(s -> LoanReducer.settle(s, new SlotKey.OfTeam(first.team()), now));
    }
    return step;
  }
}
