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
 * Reducer of finished attempts: releases slots, records the health of instances and retries within
 * a budget. Pure.
 *
 * <p>An attempt that may still run on the backend server keeps its slots until the maximum deadline
 * of the request has passed. A non-idempotent request is retried only if the attempt did not run
 * it.
 */
final class AttemptReducer {

  private static final int MAX_ATTEMPTS = 3;
  private static final int FIRST_SERVER_ERROR_STATUS = 500;

  private AttemptReducer() {}

  /** Handles the end of an attempt. An attempt other than the one that runs now is ignored. */
  static Transition handleEnd(State state, Event.AttemptEnded ended) {
    Request request = state.traffic().get(ended.number());
    boolean matches =
        request != null
            && request.stage() instanceof RequestStage.Running running
            && running.instance().equals(ended.instance());
    if (!matches || request == null) {
      return Transition.of(state);
    }
    RequestStage.Running running = (RequestStage.Running) request.stage();
    long now = ended.occurredAt();
    return Transition.of(releaseSlots(state, request, running, ended.result(), now))
        .then(s -> applyResult(s, request, ended, now))
        .then(s -> LoanReducer.expireLoans(s, new SlotKey.OfTeam(request.team()), now))
        .then(s -> LoanReducer.expireLoans(s, new SlotKey.OfInstance(running.instance()), now))
        .then(s -> DispatchRules.dispatch(s, running.pool(), now));
  }

  /**
   * Releases the slots of an attempt, or keeps them as abandoned if it may still run. Every
   * finished attempt earns a fraction of a retry token.
   */
  private static State releaseSlots(
      State state, Request request, RequestStage.Running running, AttemptResult result, long now) {
    PoolQueue queue = state.traffic().queueOf(running.pool());
    Traffic traffic =
        state
            .traffic()
            .withQueue(
                running.pool(), queue.minusRunning(request.team(), now - running.startedAt()))
            .withRetryTokens(Traffic.RETRY_TOKENS_PER_ATTEMPT);
    long latestEndAt = request.latestEndAt(state.localMember().timing());
    if (mayStillRun(result) && now < latestEndAt) {
      AbandonedAttempt abandoned =
          new AbandonedAttempt(latestEndAt, request.number(), request.team(), running.instance());
      return state.withTraffic(traffic.withAbandoned(traffic.abandoned().plus(abandoned)));
    }
    return SlotRules.countEnd(state.withTraffic(traffic), request.team(), running.instance(), now);
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

  private static Transition applyResult(
      State state, Request request, Event.AttemptEnded ended, long now) {
    InstanceId instance = ended.instance();
    return switch (ended.result()) {
      case AttemptResult.Answered answered -> handleAnswer(state, request, instance, answered, now);
      case AttemptResult.ErrorAnswer error -> handleErrorAnswer(state, request, instance, now);
      case AttemptResult.Failed failed -> handleFailure(state, request, instance, failed, now);
      case AttemptResult.EndedLate late ->
          Transition.of(HealthRules.recordInconclusiveEnd(state, instance))
              .then(s -> complete(s, request, false, RefusalCode.BACKEND_TIMEOUT.text(), now));
      case AttemptResult.StartExpired expired ->
          retry(HealthRules.recordInconclusiveEnd(state, instance), request, now);
    };
  }

  private static Transition handleAnswer(
      State state,
      Request request,
      InstanceId instance,
      AttemptResult.Answered answered,
      long now) {
    boolean succeeded = answered.complete() && answered.status() < FIRST_SERVER_ERROR_STATUS;
    Transition recorded =
        succeeded
            ? HealthRules.recordSuccess(state, request, instance, now)
            : HealthRules.recordFinalError(state, request, instance, now);
    String reason = answered.complete() ? (succeeded ? "ok" : "error-answer") : "answer-broken";
    return recorded
        .then(s -> complete(s, request, succeeded, reason, now))
        .plus(new Effect.EndRequest(request.number()));
  }

  /**
   * Retries without judging the instance: the retry shows whether the instance or the request is at
   * fault.
   */
  private static Transition handleErrorAnswer(
      State state, Request request, InstanceId instance, long now) {
    Request failedRequest = request.failedOn(instance, Verdict.RAN);
    if (mayRetry(state, failedRequest, Verdict.RAN)) {
      State tokenSpent =
          HealthRules.recordInconclusiveEnd(
              state.withTraffic(state.traffic().withRetryTokens(-1)), instance);
      return retry(tokenSpent, failedRequest, now);
    }
    return HealthRules.recordFinalError(state, failedRequest, instance, now)
        .then(s -> complete(s, request, false, "error-answer", now))
        .plus(new Effect.PassErrorAnswer(request.number()));
  }

  private static Transition handleFailure(
      State state, Request request, InstanceId instance, AttemptResult.Failed failure, long now) {
    Request failedRequest = request.failedOn(instance, failure.verdict());
    Transition recorded =
        failure.code() == RefusalCode.BACKEND_FAILED
            ? HealthRules.recordInstanceFailure(state, instance, now)
            : Transition.of(HealthRules.recordInconclusiveEnd(state, instance));
    if (mayRetry(state, failedRequest, failure.verdict())) {
      return recorded
          .mapState(s -> s.withTraffic(s.traffic().withRetryTokens(-1)))
          .then(s -> retry(s, failedRequest, now));
    }
    Refusal refusal = new Refusal(failure.code(), failure.verdict(), failure.detail(), 0);
    if (failure.verdict() == Verdict.NOT_RUN) {
      return recorded.then(s -> RequestRules.refuse(s, failedRequest, refusal, now));
    }
    return recorded
        .then(s -> complete(s, request, false, failure.code().text(), now))
        .plus(new Effect.Refuse(request.number(), refusal));
  }

  private static boolean mayRetry(State state, Request request, Verdict verdict) {
    boolean repeatable =
        verdict == Verdict.NOT_RUN
            || (request.arrival().idempotent() && request.arrival().replayable());
    return repeatable
        && request.failedOn().size() < MAX_ATTEMPTS
        && state.traffic().retryTokens() >= 1
        && !state.localMember().isStopping();
  }

  private static Transition retry(State state, Request request, long now) {
    return RequestRules.enqueue(state, request, now);
  }

  private static Transition complete(
      State state, Request request, boolean succeeded, String reason, long now) {
    long startedAt =
        request.stage() instanceof RequestStage.Running running ? running.startedAt() : now;
    return Transition.of(
        state.withTraffic(state.traffic().without(request)),
        RequestRules.countStarted(state, request, startedAt, succeeded, reason));
  }

  /** Releases the slots of abandoned attempts whose deadline has passed. */
  static Transition releaseAbandoned(State state, long now) {
    Transition transition = Transition.of(state);
    while (!transition.state().traffic().abandoned().isEmpty()) {
      Traffic traffic = transition.state().traffic();
      AbandonedAttempt first = traffic.abandoned().first();
      if (first.latestEndAt() > now) {
        return transition;
      }
      transition =
          transition
              .mapState(
                  s ->
                      SlotRules.countEnd(
                          s.withTraffic(traffic.withAbandoned(traffic.abandoned().minus(first))),
                          first.team(),
                          first.instance(),
                          now))
              .then(s -> LoanReducer.expireLoans(s, new SlotKey.OfTeam(first.team()), now));
    }
    return transition;
  }
}
