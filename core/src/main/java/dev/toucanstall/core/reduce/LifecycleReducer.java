package dev.toucanstall.core.reduce;

import dev.toucanstall.core.effect.Effect;
import dev.toucanstall.core.event.Event;
import dev.toucanstall.core.record.RecordBody;
import dev.toucanstall.core.state.LifecycleState;
import dev.toucanstall.core.state.State;

/** Reducer of clock ticks and of the stop of this entry instance. Pure. */
final class LifecycleReducer {

  private static final int EXIT_STATUS_STOPPED = 0;
  private static final int EXIT_STATUS_DEADLINE = 1;

  private LifecycleReducer() {}

  static Transition reduce(State state, Event.OfLife event) {
    return switch (event) {
      case Event.Tick tick -> tick(state, tick.occurredAt());
      case Event.StopRequested stop -> beginStop(state, stop.occurredAt());
    };
  }

  private static Transition tick(State state, long now) {
    return PeerReducer.sendHeartbeats(state, now)
        .then(s -> OutboxRules.resendDue(s, now))
        .then(s -> AttemptReducer.releaseAbandoned(s, now))
        .then(s -> ClaimReducer.expireClaims(s, now))
        .then(s -> runHeartbeatTasks(s, state, now))
        .then(s -> RequestReducer.refuseAllIfCutOff(s, now))
        .then(s -> DispatchRules.dispatchAll(s, now))
        .then(s -> FleetReducer.plan(s, now))
        .then(s -> writeSnapshotIfDue(s, now))
        .then(s -> updateReadiness(s, now))
        .then(s -> advanceStop(s, now));
  }

  /** Runs the tasks of each heartbeat interval if heartbeats were sent since the state before. */
  private static Transition runHeartbeatTasks(State state, State before, long now) {
    if (state.peers().heartbeatDueAt() == before.peers().heartbeatDueAt()) {
      return Transition.of(state);
    }
    State advanced =
        ClaimReplicas.advanceOldestRelevantEpoch(
            AllocationRules.advanceClearedEpoch(state, now), now);
    return Transition.of(endQuarantine(advanced, now))
        .then(s -> LoanReducer.expireAllLoans(s, now))
        .then(s -> MembershipRules.propose(s, now));
  }

  private static State endQuarantine(State state, long now) {
    long until = state.slots().quarantineUntil();
    return until != 0 && now >= until
        ? state.withSlots(state.slots().withQuarantineUntil(0))
        : state;
  }

  /**
   * Writes a snapshot if one is due and this entry instance coordinates snapshots. The next attempt
   * follows after a tenth of the interval, unless a snapshot is read from the log before that.
   */
  private static Transition writeSnapshotIfDue(State state, long now) {
    boolean due =
        state.appliedState().offset() >= 0
            && state.log().snapshotDueAt() <= now
            && Freshness.isLogConfirmed(state, now)
            && Liveness.isCoordinator(state, "snapshot", now);
    if (!due) {
      return Transition.of(state);
    }
    long retryAt = now + state.localMember().timing().snapshotInterval() / 10;
    return Transition.of(
        state.withLog(state.log().withSnapshotDueAt(retryAt)),
        new Effect.WriteSnapshot(state.appliedState()));
  }

  /** Reports to the load balancer whether this entry instance takes requests, if that changed. */
  static Transition updateReadiness(State state, long now) {
    boolean fresh = Freshness.isFresh(state, now);
    boolean ready = state.localMember().lifecycle() == LifecycleState.SERVING && fresh;
    if (ready == state.localMember().ready()) {
      return Transition.of(state);
    }
    String reason =
        ready
            ? "serving"
            : "lifecycle state %s, fresh %s".formatted(state.localMember().lifecycle(), fresh);
    return Transition.of(
        state.withLocalMember(state.localMember().withReady(ready)),
        new Effect.SetReady(ready, reason));
  }

  /**
   * Begins a graceful stop: readiness fails first, while requests are still taken, so that the load
   * balancer can notice.
   */
  private static Transition beginStop(State state, long now) {
    if (state.localMember().isStopping()) {
      return Transition.of(state);
    }
    return Transition.of(
            state.withLocalMember(
                state.localMember().withLifecycle(LifecycleState.LEAVING_BALANCER, now)))
        .then(s -> updateReadiness(s, now))
        .then(
            s ->
                DecisionRecorder.record(
                    s, now, "member/" + s.localId(), "stop", "readiness fails first"));
  }

  /**
   * Advances a graceful stop by one state if the condition for it holds, or exits once the state
   * has lasted longer than the stop deadline.
   */
  private static Transition advanceStop(State state, long now) {
    if (!state.localMember().isStopping()
        || state.localMember().lifecycle() == LifecycleState.LEFT) {
      return Transition.of(state);
    }
    long elapsed = now - state.localMember().lifecycleSince();
    if (elapsed > state.localMember().timing().stopDeadline()) {
      return forceExit(state, now);
    }
    return switch (state.localMember().lifecycle()) {
      case LEAVING_BALANCER ->
          elapsed >= state.localMember().timing().stopWait()
              ? Transition.of(
                  state.withLocalMember(
                      state.localMember().withLifecycle(LifecycleState.FINISHING, now)))
              : Transition.of(state);
      case FINISHING ->
          state.traffic().isIdle() ? leaveMembership(state, now) : Transition.of(state);
      case LEAVING_MEMBERS -> leaveMembership(state, now);
      default -> Transition.of(state);
    };
  }

  private static Transition leaveMembership(State state, long now) {
    if (!state.isMember()) {
      return Transition.of(
          state.withLocalMember(state.localMember().withLifecycle(LifecycleState.LEFT, now)),
          new Effect.Exit(EXIT_STATUS_STOPPED, "left the membership with no request in flight"));
    }
    State leaving =
        state.localMember().lifecycle() == LifecycleState.LEAVING_MEMBERS
            ? state
            : state.withLocalMember(
                state.localMember().withLifecycle(LifecycleState.LEAVING_MEMBERS, now));
    boolean leavePending =
        state.appliedState().membership().pending().stream()
            .anyMatch(change -> change.subject().equals(state.localId()));
    return leavePending
        ? MembershipRules.propose(leaving, now)
        : OutboxRules.append(
            leaving,
            new RecordBody.MemberLeft(
                state.localId(), state.localMember().identity().incarnation()),
            now);
  }

  private static Transition forceExit(State state, long now) {
    int requests = state.traffic().requests().size();
    String reason =
        "stop deadline reached in %s with %d requests and %d abandoned attempts"
            .formatted(
                state.localMember().lifecycle(), requests, state.traffic().abandoned().size());
    return Transition.of(
        state.withLocalMember(state.localMember().withLifecycle(LifecycleState.LEFT, now)),
        new Effect.Exit(EXIT_STATUS_DEADLINE, reason));
  }
}
