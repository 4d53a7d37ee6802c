package dev.toucanstall.core.reduce;

import dev.toucanstall.core.effect.Effect;
import dev.toucanstall.core.event.Event;
import dev.toucanstall.core.record.RecordBody;
import dev.toucanstall.core.state.LifecycleState;
import dev.toucanstall.core.state.State;

/** Decides on the passing of time and on the instance's own stop. Pure. */
final class LifeReducer {

  private static final int STOPPED = 0;
  private static final int STOPPED_BY_DEADLINE = 1;

  private LifeReducer() {}

  static Step reduce(State state, Event.OfLife event) {
    return switch (event) {
      case Event.Tick tick -> tick(state, tick.occurredAt());
      case Event.StopRequested stop -> stop(state, stop.occurredAt());
    };
  }

  private static Step tick(State state, long now) {
    return PeerReducer.sendHeartbeats(state, now)
        .then(s -> OutboxRules.resend(s, now))
        .then(s -> AttemptReducer.freeAbandoned(s, now))
        .then(s -> ClaimReducer.expire(s, now))
        .then(s -> everyHeartbeat(s, state, now))
        .then(s -> RequestReducer.refuseCutOff(s, now))
        .then(s -> Pump.pumpAll(s, now))
        .then(s -> FleetReducer.plan(s, now))
        .then(s -> snapshot(s, now))
        .then(s -> updateReady(s, now))
        .then(s -> leave(s, now));
  }

  /** Does what is due once with every heartbeat. */
  private static Step everyHeartbeat(State state, State before, long now) {
    if (state.peers().heartbeatDueAt() == before.peers().heartbeatDueAt()) {
      return Step.of(state);
    }
    State settled = ClaimKeepers.settle(SplitRules.advanceCleared(state, now), now);
    return Step.of(endQuarantine(settled, now))
        .then(s -> LoanReducer.settleAll(s, now))
        .then(s -> MembershipRules.propose(s, now));
  }

  private static State endQuarantine(State state, long now) {
    long until = state.slots().quarantineUntil();
    return until != 0 && now >= until
        ? state.withSlots(state.slots().withQuarantineUntil(0))
        : state;
  }

  private static Step snapshot(State state, long now) {
    boolean due =
        state.appliedState().offset() >= 0
            && state.log().snapshotDueAt() <= now
            && Freshness.isLogConfirmed(state, now)
            && Liveness.leads(state, "snapshot", now);
    if (!due) {
      return Step.of(state);
    }
    long retry = now + state.localMember().timing().snapshotInterval() / 10;
    return Step.of(
        state.withLog(state.log().withSnapshotDueAt(retry)),
        new Effect.WriteSnapshot(state.appliedState()));
  }

  /** Tells the balancer whether this instance takes requests, if that has changed. */
  static Step updateReady(State state, long now) {
    boolean fresh = Freshness.isFresh(state, now);
    boolean ready = state.localMember().lifecycle() == LifecycleState.SERVING && fresh;
    if (ready == state.localMember().ready()) {
      return Step.of(state);
    }
    String why =
        ready ? "serving" : "life %s, fresh %s".formatted(state.localMember().lifecycle(), fresh);
    return Step.of(
        state.withLocalMember(state.localMember().withReady(ready)),
        new Effect.SetReady(ready, why));
  }

  private static Step stop(State state, long now) {
    if (state.localMember().isStopping()) {
      return Step.of(state);
    }
    return Step.of(
            state.withLocalMember(
                state.localMember().withLifecycle(LifecycleState.LEAVING_BALANCER, now)))
        .then(s -> updateReady(s, now))
        .then(
            s ->
                Journaling.decide(
                    s, now, "member/" + s.localId(), "stop", "readiness fails first"));
  }

  private static Step leave(State state, long now) {
    if (!state.localMember().isStopping()
        || state.localMember().lifecycle() == LifecycleState.LEFT) {
      return Step.of(state);
    }
    long inPart = now - state.localMember().lifecycleSince();
    if (inPart > state.localMember().timing().stopDeadline()) {
      return forceExit(state, now);
    }
    return switch (state.localMember().lifecycle()) {
      case LEAVING_BALANCER ->
          inPart >= state.localMember().timing().stopWait()
              ? Step.of(
                  state.withLocalMember(
                      state.localMember().withLifecycle(LifecycleState.FINISHING, now)))
              : Step.of(state);
      case FINISHING -> state.traffic().isIdle() ? leaveMembers(state, now) : Step.of(state);
      case LEAVING_MEMBERS -> leaveMembers(state, now);
      default -> Step.of(state);
    };
  }

  private static Step leaveMembers(State state, long now) {
    if (!state.isMember()) {
      return Step.of(
          state.withLocalMember(state.localMember().withLifecycle(LifecycleState.LEFT, now)),
          new Effect.Exit(STOPPED, "left the members with nothing in flight"));
    }
    State leaving =
        state.localMember().lifecycle() == LifecycleState.LEAVING_MEMBERS
            ? state
            : state.withLocalMember(
                state.localMember().withLifecycle(LifecycleState.LEAVING_MEMBERS, now));
    boolean queued =
        state.appliedState().membership().pending().stream()
            .anyMatch(change -> change.subject().equals(state.localId()));
    return queued
        ? MembershipRules.propose(leaving, now)
        : OutboxRules.append(
            leaving,
            new RecordBody.MemberLeft(
                state.localId(), state.localMember().identity().incarnation()),
            now);
  }

  private static Step forceExit(State state, long now) {
    int requests = state.traffic().requests().size();
    String why =
        "stop deadline reached in %s with %d requests and %d abandoned attempts"
            .formatted(
                state.localMember().lifecycle(), requests, state.traffic().abandoned().size());
    return Step.of(
        state.withLocalMember(state.localMember().withLifecycle(LifecycleState.LEFT, now)),
        new Effect.Exit(STOPPED_BY_DEADLINE, why));
  }
}
