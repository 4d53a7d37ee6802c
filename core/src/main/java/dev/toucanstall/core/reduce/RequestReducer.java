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

/** Decides on events of requests. Pure. */
final class RequestReducer {

  private static final ServiceId UNKNOWN_SERVICE = new ServiceId("unknown");
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private RequestReducer() {}

  static Transition reduce(State state, Event.OfRequest event) {
    return switch (event) {
      case Event.RequestArrived arrived -> arrive(state, arrived);
      case Event.AttemptEnded ended -> AttemptReducer.end(state, ended);
      case Event.WaitEnded ended -> endWait(state, ended);
      case Event.CancelAsked asked -> cancelByCaller(state, asked);
    };
  }

  private static Transition arrive(State state, Event.RequestArrived arrived) {
    Arrival arrival = arrived.arrival();
    long now = arrived.occurredAt();
    if (!state.localMember().acceptsRequests()) {
      return turnAway(
          state,
          arrived,
          Refusal.notRun(RefusalCode.STOPPING, "This entry instance is stopping.", 1));
    }
    if (isCutOff(state, now)) {
      return turnAway(state, arrived, cutOff());
    }
    Settings settings = state.appliedState().settings();
    TeamId team = teamOf(settings, arrival.keyDigest());
    if (team == null) {
      return turnAway(
          state, arrived, Refusal.notRun(RefusalCode.KEY_UNKNOWN, "The key is not known."));
    }
    Optional<Service> service = settings.resolve(team, arrival.serviceName());
    if (service.isEmpty()) {
      return unknownName(state, arrived, team);
    }
    if (arrival.keyDigest() == null && !service.get().allowsAnonymous()) {
      return turnAway(
          state, arrived, Refusal.notRun(RefusalCode.KEY_MISSING, "The service needs a key."));
    }
    return admit(state, arrived, team, service.get());
  }

  private static boolean isCutOff(State state, long now) {
    long until = Freshness.freshUntil(state, now);
    return until == Long.MIN_VALUE || until + state.localMember().timing().cutOffGrace() < now;
  }

  private static Refusal cutOff() {
    return Refusal.notRun(
        RefusalCode.CUT_OFF,
        "This entry instance is cut off from the log and from a majority of its peers.",
        RETRY_AFTER_MILLIS);
  }

  private static @Nullable TeamId teamOf(Settings settings, @Nullable KeyDigest key) {
    if (key == null) {
      return Team.ANONYMOUS;
    }
    KeyGrant grant = settings.keys().get(key);
    return grant == null ? null : grant.team();
  }

  private static Transition turnAway(State state, Event.RequestArrived arrived, Refusal refusal) {
    KeyDigest key = arrived.arrival().keyDigest();
    TeamId known = teamOf(state.appliedState().settings(), key);
    TeamId team = known == null ? Team.ANONYMOUS : known;
    ServiceId service =
        state
            .appliedState()
            .settings()
            .resolve(team, arrived.arrival().serviceName())
            .map(Service::id)
            .orElse(UNKNOWN_SERVICE);
    ObjectiveOutcome ending =
        refusal.code().isCallersFault() ? ObjectiveOutcome.CALLERS_FAULT : ObjectiveOutcome.BAD;
    return Transition.of(
        state,
        new Effect.Refuse(arrived.number(), refusal),
        new Effect.CountRequest(team, service, 0, false, ending, refusal.code().text()));
  }

  private static Transition unknownName(State state, Event.RequestArrived arrived, TeamId team) {
    String name = arrived.arrival().serviceName();
    var names = state.diagnostics().unknownNames().plus(team, name, arrived.occurredAt());
    State noted = state.withDiagnostics(new Diagnostics(state.diagnostics().decisions(), names));
    return turnAway(
        noted,
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

  private static Transition endWait(State state, Event.WaitEnded ended) {
    Request request = state.traffic().get(ended.number());
    boolean waits = request != null && !(request.stage() instanceof RequestStage.Running);
    return waits && request != null
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

  private static Transition cancelByCaller(State state, Event.CancelAsked asked) {
    KeyGrant grant = state.appliedState().settings().keys().get(asked.keyDigest());
    return grant == null
        ? Transition.of(state)
        : cancel(state, new RequestKey(grant.team(), asked.requestId()), true, asked.occurredAt());
  }

  /** Cancels a request that waits here, or passes the cancellation on to the peers. */
  static Transition cancel(State state, RequestKey key, boolean passOn, long now) {
    Long number = state.traffic().numbersByKey().get(key);
    Request request = number == null ? null : state.traffic().get(number);
    if (request == null) {
      return passOn ? passOn(state, key) : Transition.of(state);
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

  private static Transition passOn(State state, RequestKey key) {
    Transition step = Transition.of(state);
    for (MemberId peer : state.peers().views().keySet()) {
      step = step.plus(new Effect.Send(peer, new PeerMessage.CancelPassed(key)));
    }
    return step;
  }

  /** Refuses what waits once this instance has been cut off for longer than its grace. */
  static Transition refuseCutOff(State state, long now) {
    boolean anyWaiting =
        state.traffic().queuesByPool().values().stream().anyMatch(pool -> pool.waiting() > 0);
    if (!anyWaiting || !isCutOff(state, now)) {
      return Transition.of(state);
    }
    Transition step = Transition.of(state);
    for (Request request : state.traffic().requests().values()) {
      if (!(request.stage() instanceof RequestStage.Running)) {
        step = step.then(s -> RequestRules.refuse(s, request, cutOff(), now));
      }
    }
    return step;
  }
}
