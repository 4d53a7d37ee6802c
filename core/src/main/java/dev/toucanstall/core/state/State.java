package dev.toucanstall.core.state;

import dev.toucanstall.core.fold.AppliedState;
import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.record.Member;
import java.util.Objects;
import org.pcollections.HashPMap;
import org.pcollections.HashTreePMap;

/**
 * The whole control state of one entry instance. Immutable; only the reducer creates new values.
 *
 * @param localMember this entry instance as a member
 * @param appliedState state folded from the log, equal on all replicas at the same offset
 * @param log position in the log, beyond the folded state
 * @param peers state of the peers
 * @param traffic requests in progress
 * @param slots usage of slots
 * @param claims claims of request ids for which this entry instance is a replica
 * @param health health of instances that are not healthy, by name
 * @param listing the platform's list of instances as last read
 * @param outbox records that are appended and not yet read back
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
   * Data that is shown to operators and plays no part in decisions.
   *
   * @param decisions the latest decisions
   * @param unknownNames requested names that match no service or alias
   */
  public record Diagnostics(Decisions decisions, UnknownNames unknownNames) {

    /** Diagnostics of an entry instance that has just started. */
    public static final Diagnostics EMPTY = new Diagnostics(Decisions.EMPTY, UnknownNames.EMPTY);
  }

  /**
   * Returns the state of an entry instance that starts.
   *
   * @param member name, incarnation, addresses and location of the entry instance
   * @param timing durations in force
   * @param startedAt start time, in nanoseconds of the monotonic clock
   * @return the state
   */
  public static State initial(Member member, Timing timing, long startedAt) {
    return new State(
        new LocalMember(member, timing, LifecycleState.JOINING, startedAt, startedAt, false),
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
   * Returns the name of this entry instance.
   *
   * @return the name
   */
  public MemberId localId() {
    return localMember.identity().id();
  }

  /**
   * Tells whether this incarnation of the entry instance is a settled member.
   *
   * @return true from the settlement of its joining to that of its leaving or eviction
   */
  public boolean isMember() {
    return appliedState.membership().isActive(localId(), localMember.identity().incarnation());
  }

  /**
   * Returns the health of an instance.
   *
   * @param id the instance
   * @return the health, {@link Health#GOOD} if nothing else is recorded
   */
  public Health healthOf(InstanceId id) {
    return Objects.requireNonNullElse(health.get(id), Health.GOOD);
  }

  /**
   * Returns a copy with another value of this entry instance as a member.
   *
   * @param next the new value
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
   * Returns a copy with another state folded from the log.
   *
   * @param next the folded state
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
   * Returns a copy with another position in the log.
   *
   * @param next the position
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
   * Returns a copy with another state of the peers.
   *
   * @param next the peers
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
   * Returns a copy with other requests in progress.
   *
   * @param next the requests
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
   * Returns a copy with another usage of slots.
   *
   * @param next the slots
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
   * Returns a copy with other claims.
   *
   * @param next the claims
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
   * Returns a copy with another health of the instances.
   *
   * @param next health of instances that are not healthy, by name
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
   * Returns a copy with another list of instances.
   *
   * @param next the list
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
   * Returns a copy with another outbox.
   *
   * @param next the outbox
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
   * Returns a copy with other diagnostics.
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
