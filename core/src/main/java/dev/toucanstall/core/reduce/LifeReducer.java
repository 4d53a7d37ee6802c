package dev.toucanstall.core.reduce;

import dev.toucanstall.core.effect.Effect;
import dev.toucanstall.core.event.Event;
import dev.toucanstall.core.record.RecordBody;
import dev.toucanstall.core.state.Life;
import dev.toucanstall.core.state.State;

/** Reducer of clock ticks and of the stop of this entry instance. Pure. */
final class LifeReducer {

  /** Exit status after a graceful stop. */
  private static final int STOPPED = 0;
  /** Exit status after a stop that exceeded the stop deadline. */
  private static final int STOPPED_BY_DEADLINE = 1;

  private LifeReducer() {}

  static Step reduce(State state, Event.OfLife event) {
    return switch (event) {
      case Event.Tick tick -> tick(state, tick.at());
      case Event.StopRequested stop -> stop(state, stop.at());
    };
  }

  /** Runs everything that is due at a time. */
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

  /**
   * Runs the tasks that are due once per heartbeat interval.
   *
   * @param before the state before the tick; heartbeats were sent if their due time has changed since
   */
  private static Step everyHeartbeat(State state, State before, long now) {
    if (state.peers().heartbeatDueAt() == before.peers().heartbeatDueAt()) {
      return Step.of(state);
    }
    State settled = ClaimKeepers.settle(SplitRules.advanceCleared(state, now), now);
    return Step.of(endQuarantine(settled, now))
        .then(s -> LoanReducer.settleAll(s, now))
        .then(s -> MembershipRules.propose(s, now));
  }

  /**
   * Ends the quarantine of the slots that an earlier incarnation may still use, once its time has
   * passed.
   */
  private static State endQuarantine(State state, long now) {
    long until = state.slots().quarantineUntil();
    return until != 0 && now >= until ? state.withSlots(state.slots().withQuarantine(0)) : state;
  }

  /**
   * Writes a snapshot if one is due and this entry instance coordinates snapshots. The next attempt
   * follows after a tenth of the interval, unless a snapshot is read from the log before that.
   */
  private static Step snapshot(State state, long now) {
    boolean due =
        state.folded().offset() >= 0
            && state.log().snapshotDueAt() <= now
            && Freshness.isLogConfirmed(state, now)
            && Liveness.leads(state, "snapshot", now);
    if (!due) {
      return Step.of(state);
    }
    long retry = now + state.self().timing().snapshotEvery() / 10;
    return Step.of(
        state.withLog(state.log().withSnapshotDueAt(retry)),
        new Effect.WriteSnapshot(state.folded()));
  }

  /** Reports to the load balancer whether this entry instance takes requests, if that changed. */
  static Step updateReady(State state, long now) {
    boolean fresh = Freshness.isFresh(state, now);
    boolean ready = state.self().life() == Life.SERVING && fresh;
    if (ready == state.self().ready()) {
      return Step.of(state);
    }
    String why = ready ? "serving" : "lifecycle state %s, fresh %s".formatted(state.self().life(), fresh);
    return Step.of(state.withSelf(state.self().withReady(ready)), new Effect.SetReady(ready, why));
  }

  /**
   * Begins a graceful stop: readiness fails first, while requests are still taken, so that the load
   * balancer can notice.
   */
  private static Step stop(State state, long now) {
    if (state.self().isStopping()) {
      return Step.of(state);
    }
    return Step.of(state.withSelf(state.self().withLife(Life.LEAVING_BALANCER, now)))
        .then(s -> updateReady(s, now))
        .then(s -> Journaling.decide(s, now, "member/" + s.me(), "stop", "readiness fails first"));
  }

  /**
   * Advances a graceful stop by one state if the condition for it holds, or exits once the state has
   * lasted longer than the stop deadline.
   */
  private static Step leave(State state, long now) {
    if (!state.self().isStopping() || state.self().life() == Life.LEFT) {
      return Step.of(state);
    }
    long inPart = now - state.self().lifeSince();
    if (inPart > state.self().timing().stopDeadline()) {
      return forceExit(state, now);
    }
    return switch (state.self().life()) {
      case LEAVING_BALANCER ->
          inPart >= state.self().timing().stopWait()
              ? Step.of(state.withSelf(state.self().withLife(Life.FINISHING, now)))
              : Step.of(state);
      case FINISHING -> state.traffic().isIdle() ? leaveMembers(state, now) : Step.of(state);
      case LEAVING_MEMBERS -> leaveMembers(state, now);
      default -> Step.of(state);
    };
  }

  /**
   * Proposes to leave the membership, and exits once this entry instance is no longer an active
   * member.
   */
  private static Step leaveMembers(State state, long now) {
    if (!state.isMember()) {
      return Step.of(
          state.withSelf(state.self().withLife(Life.LEFT, now)),
          new Effect.Exit(STOPPED, "left the membership with no request in flight"));
    }
    State leaving =
        state.self().life() == Life.LEAVING_MEMBERS
            ? state
            : state.withSelf(state.self().withLife(Life.LEAVING_MEMBERS, now));
    boolean queued =
        state.folded().membership().pending().stream()
            .anyMatch(change -> change.subject().equals(state.me()));
    return queued
        ? MembershipRules.propose(leaving, now)
        : OutboxRules.append(
            leaving,
            new RecordBody.MemberLeft(state.me(), state.self().member().incarnation()),
            now);
  }

  /** Exits with requests still in flight, after the stop deadline. */
  private static Step forceExit(State state, long now) {
    int requests = state.traffic().requests().size();
    String why =
        "stop deadline reached in %s with %d requests and %d abandoned attempts"
            .formatted(state.self().life(), requests, state.traffic().abandoned().size());
    return Step.of(
        state.withSelf(state.self().withLife(Life.LEFT, now)),
        new Effect.Exit(STOPPED_BY_DEADLINE, why));
  }
}
