package dev.toucanstall.core.state;

import dev.toucanstall.core.fold.AppliedState;
import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.record.Member;
import java.util.Objects;
import org.pcollections.HashPMap;
import org.pcollections.HashTreePMap;

/**
 * The whole control state of one entry instance. Immutable; only the reducer makes a new one.
 *
 * @param localMember what it knows of itself
 * @param appliedState what the log says
 * @param log what it knows of the log beyond that
 * @param peers what it knows of its peers
 * @param traffic the requests that it holds
 * @param slots the slots that it uses
 * @param claims the request ids that it keeps
 * @param health what it learned of instances
 * @param listing what it read on the platform's list
 * @param outbox records that it has not read back yet
 * @param diagnostics decisions and unknown names, for operators
 */
public record State(
    LocalMember localMember,
    AppliedState appliedState,
    LogView log,
    Peers peers,
    Traffic traffic,
    Slots slots,
    Claims claims,
    HashPMap<InstanceId, Health> health,
    PlatformListing listing,
    Outbox outbox,
    Diagnostics diagnostics) {

  /**
   * Decisions and unknown names, for operators.
   *
   * @param decisions the last decisions
   * @param unknownNames names that no setting knows
   */
  public record Diagnostics(Decisions decisions, UnknownNames unknownNames) {

    /** Nothing to tell. */
    public static final Diagnostics EMPTY = new Diagnostics(Decisions.EMPTY, UnknownNames.EMPTY);
  }

  /**
   * Makes the state of an instance that starts.
   *
   * @param member its identity
   * @param timing its durations
   * @param at when it starts
   * @return the state
   */
  public static State initial(Member member, Timing timing, long at) {
    return new State(
        new LocalMember(member, timing, LifecycleState.JOINING, at, at, false),
        AppliedState.EMPTY,
        LogView.EMPTY,
        Peers.EMPTY,
        Traffic.EMPTY,
        Slots.EMPTY,
        Claims.EMPTY,
        HashTreePMap.empty(),
        PlatformListing.EMPTY,
        Outbox.EMPTY,
        Diagnostics.EMPTY);
  }

  /**
   * Returns this instance's name.
   *
   * @return the name
   */
  public MemberId localId() {
    return localMember.identity().id();
  }

  /**
   * Tells whether this start of the instance is a settled member.
   *
   * @return true if so
   */
  public boolean isMember() {
    return appliedState.membership().isActive(localId(), localMember.identity().incarnation());
  }

  /**
   * Returns what was learned of an instance.
   *
   * @param id the instance
   * @return its health
   */
  public Health healthOf(InstanceId id) {
    return Objects.requireNonNullElse(health.get(id), Health.GOOD);
  }

  /**
   * Returns the state with one part replaced.
   *
   * @param next what it knows of itself
   * @return the new state
   */
  public State withLocalMember(LocalMember next) {
    return new State(
        next,
        appliedState,
        log,
        peers,
        traffic,
        slots,
        claims,
        health,
        listing,
        outbox,
        diagnostics);
  }

  /**
   * Returns the state with one part replaced.
   *
   * @param next what the log says
   * @return the new state
   */
  public State withAppliedState(AppliedState next) {
    return new State(
        localMember,
        next,
        log,
        peers,
        traffic,
        slots,
        claims,
        health,
        listing,
        outbox,
        diagnostics);
  }

  /**
   * Returns the state with one part replaced.
   *
   * @param next what it knows of the log
   * @return the new state
   */
  public State withLog(LogView next) {
    return new State(
        localMember,
        appliedState,
        next,
        peers,
        traffic,
        slots,
        claims,
        health,
        listing,
        outbox,
        diagnostics);
  }

  /**
   * Returns the state with one part replaced.
   *
   * @param next what it knows of its peers
   * @return the new state
   */
  public State withPeers(Peers next) {
    return new State(
        localMember,
        appliedState,
        log,
        next,
        traffic,
        slots,
        claims,
        health,
        listing,
        outbox,
        diagnostics);
  }

  /**
   * Returns the state with one part replaced.
   *
   * @param next the requests that it holds
   * @return the new state
   */
  public State withTraffic(Traffic next) {
    return new State(
        localMember,
        appliedState,
        log,
        peers,
        next,
        slots,
        claims,
        health,
        listing,
        outbox,
        diagnostics);
  }

  /**
   * Returns the state with one part replaced.
   *
   * @param next the slots that it uses
   * @return the new state
   */
  public State withSlots(Slots next) {
    return new State(
        localMember,
        appliedState,
        log,
        peers,
        traffic,
        next,
        claims,
        health,
        listing,
        outbox,
        diagnostics);
  }

  /**
   * Returns the state with one part replaced.
   *
   * @param next the request ids that it keeps
   * @return the new state
   */
  public State withClaims(Claims next) {
    return new State(
        localMember,
        appliedState,
        log,
        peers,
        traffic,
        slots,
        next,
        health,
        listing,
        outbox,
        diagnostics);
  }

  /**
   * Returns the state with one part replaced.
   *
   * @param next what it learned of instances
   * @return the new state
   */
  public State withHealth(HashPMap<InstanceId, Health> next) {
    return new State(
        localMember,
        appliedState,
        log,
        peers,
        traffic,
        slots,
        claims,
        next,
        listing,
        outbox,
        diagnostics);
  }

  /**
   * Returns the state with one part replaced.
   *
   * @param next what it read on the list
   * @return the new state
   */
  public State withListing(PlatformListing next) {
    return new State(
        localMember,
        appliedState,
        log,
        peers,
        traffic,
        slots,
        claims,
        health,
        next,
        outbox,
        diagnostics);
  }

  /**
   * Returns the state with one part replaced.
   *
   * @param next records not read back yet
   * @return the new state
   */
  public State withOutbox(Outbox next) {
    return new State(
        localMember,
        appliedState,
        log,
        peers,
        traffic,
        slots,
        claims,
        health,
        listing,
        next,
        diagnostics);
  }

  /**
   * Returns the state with one part replaced.
   *
   * @param next decisions and unknown names
   * @return the new state
   */
  public State withDiagnostics(Diagnostics next) {
    return new State(
        localMember,
        appliedState,
        log,
        peers,
        traffic,
        slots,
        claims,
        health,
        listing,
        outbox,
        next);
  }
}
