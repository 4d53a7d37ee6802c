package dev.toucanstall.core.reduce;

import dev.toucanstall.core.effect.Effect;
import dev.toucanstall.core.event.Arrival;
import dev.toucanstall.core.event.Event;
import dev.toucanstall.core.model.KeyDigest;
import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.model.Names;
import dev.toucanstall.core.model.ObjectiveOutcome;
import dev.toucanstall.core.model.Refusal;
import dev.toucanstall.core.model.RefusalCode;
import dev.toucanstall.core.model.RequestKey;
import dev.toucanstall.core.model.ServiceId;
import dev.toucanstall.core.model.TeamId;
import dev.toucanstall.core.peer.PeerMessage;
import dev.toucanstall.core.settings.KeyGrant;
import dev.toucanstall.core.settings.Service;
import dev.toucanstall.core.settings.Settings;
import dev.toucanstall.core.settings.Team;
import dev.toucanstall.core.state.Request;
import dev.toucanstall.core.state.RequestStage;
import dev.toucanstall.core.state.State;
import dev.toucanstall.core.state.State.Diagnostics;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Reducer of the arrival, timeout and cancellation of requests. Pure. */
final class RequestReducer {

  /** Service under which requests for unknown services are counted. */
  private static final ServiceId UNKNOWN_SERVICE = new ServiceId("unknown");

  private static final long RETRY_AFTER_MILLIS = 1_000;

  private RequestReducer() {}

  static Transition reduce(State state, Event.OfRequest event) {
    return switch (event) {
      case Event.RequestArrived arrived -> handleArrival(state, arrived);
      case Event.AttemptEnded ended -> AttemptReducer.handleEnd(state, ended);
      case Event.WaitEnded ended -> handleWaitEnded(state, ended);
      case Event.CancelAsked cancelAsked -> cancelByCaller(state, cancelAsked);
    };
  }

  private static Transition handleArrival(State state, Event.RequestArrived arrived) {
    Arrival arrival = arrived.arrival();
    long now = arrived.occurredAt();
    if (!state.localMember().acceptsRequests()) {
      return refuseArrival(
          state,
          arrived,
          Refusal.notRun(RefusalCode.STOPPING, "This entry instance is stopping.", 1));
    }
    if (isCutOff(state, now)) {
      return refuseArrival(state, arrived, cutOffRefusal());
    }
    Settings settings = state.appliedState().settings();
    TeamId team = teamOf(settings, arrival.keyDigest());
    if (team == null) {
      return refuseArrival(
          state, arrived, Refusal.notRun(RefusalCode.KEY_UNKNOWN, "The key is not known."));
    }
    Optional<Service> service = settings.resolve(team, arrival.serviceName());
    if (service.isEmpty()) {
      return refuseUnknownService(state, arrived, team);
    }
    if (arrival.keyDigest() == null && !service.get().allowsAnonymous()) {
      return refuseArrival(
          state, arrived, Refusal.notRun(RefusalCode.KEY_MISSING, "The service needs a key."));
    }
    return admit(state, arrived, team, service.get());
  }

  /**
   * Tells whether freshness ended longer ago than the grace period. Until then requests wait, as
   * contact may return.
   */
  private static boolean isCutOff(State state, long now) {
    long freshUntil = Freshness.freshUntil(state, now);
    return freshUntil == Long.MIN_VALUE
        || freshUntil + state.localMember().timing().cutOffGrace() < now;
  }

  private static Refusal cutOffRefusal() {
    return Refusal.notRun(
        RefusalCode.CUT_OFF,
        "This entry instance is cut off from the log and from a majority of its peers.",
        RETRY_AFTER_MILLIS);
  }

  /** Returns the team of a key: anonymous if there is no key, null if the key is unknown. */
  private static @Nullable TeamId teamOf(Settings settings, @Nullable KeyDigest key) {
    if (key == null) {
      return Team.ANONYMOUS;
    }
    KeyGrant grant = settings.keys().get(key);
    return grant == null ? null : grant.team();
  }

  /** Refuses and counts a request; a request with an unknown key counts as anonymous. */
  private static Transition refuseArrival(
      State state, Event.RequestArrived arrived, Refusal refusal) {
    KeyDigest key = arrived.arrival().keyDigest();
    TeamId keyTeam = teamOf(state.appliedState().settings(), key);
    TeamId team = keyTeam == null ? Team.ANONYMOUS : keyTeam;
    ServiceId service =
        state
            .appliedState()
            .settings()
            .resolve(team, arrived.arrival().serviceName())
            .map(Service::id)
            .orElse(UNKNOWN_SERVICE);
    ObjectiveOutcome outcome =
        refusal.code().isCallersFault() ? ObjectiveOutcome.CALLERS_FAULT : ObjectiveOutcome.BAD;
    return Transition.of(
        state,
        new Effect.Refuse(arrived.number(), refusal),
        new Effect.CountRequest(team, service, 0, false, outcome, refusal.code().text()));
  }

  private static Transition refuseUnknownService(
      State state, Event.RequestArrived arrived, TeamId team) {
    String name = arrived.arrival().serviceName();
    var unknownNames = state.diagnostics().unknownNames().plus(team, name, arrived.occurredAt());
    State recorded =
        state.withDiagnostics(new Diagnostics(state.diagnostics().decisions(), unknownNames));
    return refuseArrival(
        recorded,
        arrived,
        Refusal.notRun(
            RefusalCode.SERVICE_UNKNOWN,
            "Service \"%s\" does not exist.".formatted(Names.abbreviate(name))));
  }

  private static Transition admit(
      State state, Event.RequestArrived arrived, TeamId team, Service service) {
    Arrival arrival = arrived.arrival();
    RequestKey key = arrival.requestId() == null ? null : new RequestKey(team, arrival.requestId());
    Request request =
        new Request(
            arrived.number(),
            team,
            service.id(),
            arrival,
            arrived.occurredAt(),
            key,
            List.of(),
            false,
            new RequestStage.Waiting(service.pool()));
    return request.needsClaim()
        ? ClaimReducer.begin(state, request, arrived.occurredAt())
        : RequestRules.enqueue(state, request, arrived.occurredAt());
  }

  /** Refuses a request whose deadline passed or whose caller disconnected before it started. */
  private static Transition handleWaitEnded(State state, Event.WaitEnded ended) {
    Request request = state.traffic().get(ended.number());
    boolean notStarted = request != null && !(request.stage() instanceof RequestStage.Running);
    return notStarted && request != null
        ? RequestRules.refuse(
            state,
            request,
            Refusal.notRun(
                RefusalCode.TOO_LATE,
                "The request did not start before its deadline.",
                RETRY_AFTER_MILLIS),
            ended.occurredAt())
        : Transition.of(state);
  }

  /** Cancels a request of the team that owns the key. An unknown key is ignored. */
  private static Transition cancelByCaller(State state, Event.CancelAsked event) {
    KeyGrant grant = state.appliedState().settings().keys().get(event.keyDigest());
    return grant == null
        ? Transition.of(state)
        : cancel(state, new RequestKey(grant.team(), event.requestId()), true, event.occurredAt());
  }

  /**
   * Cancels a request that waits at this entry instance. A running request is not cancelled.
   *
   * @param forward whether to forward the cancellation to all peers if the request is not here
   */
  static Transition cancel(State state, RequestKey key, boolean forward, long now) {
    Long number = state.traffic().numbersByKey().get(key);
    Request request = number == null ? null : state.traffic().get(number);
    if (request == null) {
      return forward ? forwardCancellation(state, key) : Transition.of(state);
    }
    if (request.stage() instanceof RequestStage.Running) {
      return Transition.of(state);
    }
    return RequestRules.refuse(
        state,
        request,
        Refusal.notRun(RefusalCode.CANCELLED, "The caller cancelled the request."),
        now);
  }

  private static Transition forwardCancellation(State state, RequestKey key) {
    Transition transition = Transition.of(state);
    for (MemberId peer : state.peers().views().keySet()) {
      transition = transition.plus(new Effect.Send(peer, new PeerMessage.CancelPassed(key)));
    }
    return transition;
  }

  /**
   * Refuses all requests that have not started, once this entry instance has been cut off for
   * longer than the grace period.
   */
  static Transition refuseAllIfCutOff(State state, long now) {
    boolean anyWaiting =
        state.traffic().queuesByPool().values().stream().anyMatch(pool -> pool.waiting() > 0);
    if (!anyWaiting || !isCutOff(state, now)) {
      return Transition.of(state);
    }
    Transition transition = Transition.of(state);
    for (Request request : state.traffic().requests().values()) {
      if (!(request.stage() instanceof RequestStage.Running)) {
        transition = transition.then(s -> RequestRules.refuse(s, request, cutOffRefusal(), now));
      }
    }
    return transition;
  }
}
