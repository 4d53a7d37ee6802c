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

  static Transition reduce(State state, Event.OfLife event) {
    return switch (event) {
      case Event.Tick tick -> tick(state, tick.occurredAt());
      case Event.StopRequested stop -> stop(state, stop.occurredAt());
    };
  }

  private static Transition tick(State state, long now) {
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
  private static Transition everyHeartbeat(State state, State before, long now) {
    if (state.peers().heartbeatDueAt() == before.peers().heartbeatDueAt()) {
      return Transition.of(state);
    }
    State settled = ClaimKeepers.settle(SplitRules.advanceCleared(state, now), now);
    return Transition.of(endQuarantine(settled, now))
        .then(s -> LoanReducer.settleAll(s, now))
        .then(s -> MembershipRules.propose(s, now));
  }

  private static State endQuarantine(State state, long now) {
    long until = state.slots().quarantineUntil();
    return until != 0 && now >= until
        ? state.withSlots(state.slots().withQuarantineUntil(0))
        : state;
  }

  private static Transition snapshot(State state, long now) {
    boolean due =
        state.appliedState().offset() >= 0
            && state.log().snapshotDueAt() <= now
            && Freshness.isLogConfirmed(state, now)
            && Liveness.leads(state, "snapshot", now);
    if (!due) {
      return Transition.of(state);
    }
    long retry = now + state.localMember().timing().snapshotInterval() / 10;
    return Transition.of(
        state.withLog(state.log().withSnapshotDueAt(retry)),
        new Effect.WriteSnapshot(state.appliedState()));
  }

  /** Tells the balancer whether this instance takes requests, if that has changed. */
  static Transition updateReady(State state, long now) {
    boolean fresh = Freshness.isFresh(state, now);
    boolean ready = state.localMember().lifecycle() == LifecycleState.SERVING && fresh;
    if (ready == state.localMember().ready()) {
      return Transition.of(state);
    }
    String why =
        ready ? "serving" : "life %s, fresh %s".formatted(state.localMember().lifecycle(), fresh);
    return Transition.of(
        state.withLocalMember(state.localMember().withReady(ready)),
        new Effect.SetReady(ready, why));
  }

  private static Transition stop(State state, long now) {
    if (state.localMember().isStopping()) {
      return Transition.of(state);
    }
    return Transition.of(
            state.withLocalMember(
                state.localMember().withLifecycle(LifecycleState.LEAVING_BALANCER, now)))
        .then(s -> updateReady(s, now))
        .then(
            s ->
                Journaling.decide(
                    s, now, "member/" + s.localId(), "stop", "readiness fails first"));
  }

  private static Transition leave(State state, long now) {
    if (!state.localMember().isStopping()
        || state.localMember().lifecycle() == LifecycleState.LEFT) {
      return Transition.of(state);
    }
    long inPart = now - state.localMember().lifecycleSince();
    if (inPart > state.localMember().timing().stopDeadline()) {
      return forceExit(state, now);
    }
    return switch (state.localMember().lifecycle()) {
      case LEAVING_BALANCER ->
          inPart >= state.localMember().timing().stopWait()
              ? Transition.of(
                  state.withLocalMember(
                      state.localMember().withLifecycle(LifecycleState.FINISHING, now)))
              : Transition.of(state);
      case FINISHING -> state.traffic().isIdle() ? leaveMembers(state, now) : Transition.of(state);
      case LEAVING_MEMBERS -> leaveMembers(state, now);
      default -> Transition.of(state);
    };
  }

  private static Transition leaveMembers(State state, long now) {
    if (!state.isMember()) {
      return Transition.of(
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

  private static Transition forceExit(State state, long now) {
    int requests = state.traffic().requests().size();
    String why =
        "stop deadline reached in %s with %d requests and %d abandoned attempts"
            .formatted(
                state.localMember().lifecycle(), requests, state.traffic().abandoned().size());
    return Transition.of(
        state.withLocalMember(state.localMember().withLifecycle(LifecycleState.LEFT, now)),
        new Effect.Exit(STOPPED_BY_DEADLINE, why));
  }
}
