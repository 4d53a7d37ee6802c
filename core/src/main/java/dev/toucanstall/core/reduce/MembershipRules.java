package dev.toucanstall.core.reduce;

import dev.toucanstall.core.fold.MemberChange;
import dev.toucanstall.core.fold.Membership;
import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.model.Rendezvous;
import dev.toucanstall.core.record.Member;
import dev.toucanstall.core.record.RecordBody;
import dev.toucanstall.core.state.LifecycleState;
import dev.toucanstall.core.state.PeerView;
import dev.toucanstall.core.state.State;
import java.util.List;
import java.util.Set;

/**
 * Proposes changes of membership to the log: the joining of this entry instance, acknowledgements
 * and evictions. Stateless.
 */
final class MembershipRules {

  private MembershipRules() {}

  /**
   * Appends the records that are due. Does nothing while the log is not confirmed or after this
   * entry instance has left.
   */
  static Transition propose(State state, long now) {
    if (!Freshness.isLogConfirmed(state, now)
        || state.localMember().lifecycle() == LifecycleState.LEFT) {
      return Transition.of(state);
    }
    return join(state, now).then(s -> acknowledge(s, now)).then(s -> evict(s, now));
  }

  private static Transition join(State state, long now) {
    boolean required = !state.localMember().isStopping() && !state.isMember() && !isJoining(state);
    if (!required) {
      return Transition.of(state);
    }
    State prepared =
        state.localMember().lifecycle() == LifecycleState.JOINING ? startQuarantine(state) : state;
    return OutboxRules.append(
        prepared, new RecordBody.MemberJoined(state.localMember().identity()), now);
  }

  private static boolean isJoining(State state) {
    return state.appliedState().membership().pending().stream()
        .anyMatch(
            change ->
                change instanceof MemberChange.Joining joining
                    && joining.member().equals(state.localMember().identity()));
  }

  /**
   * Accounts for an earlier incarnation of this entry instance, if the log knows of one.
   *
   * <p>Until the claim window has passed, claims granted by that incarnation may be missing here.
   * Unless it left gracefully, it may also still use slots, so that none are allocated to this
   * entry instance for as long as a loan stays reserved.
   */
  private static State startQuarantine(State state) {
    Membership membership = state.appliedState().membership();
    boolean knownToLog =
        membership.active().containsKey(state.localId())
            || membership.epochs().stream().anyMatch(e -> e.members().contains(state.localId()));
    if (!knownToLog) {
      return state;
    }
    long startedAt = state.localMember().startedAt();
    long incompleteUntil = startedAt + state.localMember().timing().claimWindow();
    long quarantineUntil =
        leftGracefully(state) ? 0 : startedAt + state.localMember().timing().loanReservation();
    return state
        .withClaims(state.claims().withIncompleteUntil(incompleteUntil))
        .withSlots(state.slots().withQuarantineUntil(quarantineUntil));
  }

  /**
   * Tells whether the earlier incarnation left with nothing in flight: it is not an active member
   * and no retained epoch began with its eviction.
   */
  private static boolean leftGracefully(State state) {
    Membership membership = state.appliedState().membership();
    if (membership.active().containsKey(state.localId())) {
      return false;
    }
    return membership.epochs().stream()
        .noneMatch(epoch -> epoch.evicted().filter(state.localId()::equals).isPresent());
  }

  private static Transition acknowledge(State state, long now) {
    Membership membership = state.appliedState().membership();
    if (membership.pending().isEmpty()) {
      return Transition.of(state);
    }
    Member local = membership.allMembers().get(state.localId());
    boolean required =
        membership.quorumGroups().stream().anyMatch(group -> group.contains(state.localId()))
            && local != null
            && local.incarnation() == state.localMember().identity().incarnation()
            && !membership.acknowledged().contains(state.localId());
    long change = membership.pending().get(0).offset();
    return required
        ? OutboxRules.append(state, new RecordBody.MembershipAcknowledged(change), now)
        : Transition.of(state);
  }

  /**
   * Proposes to evict members that have been unresponsive for too long.
   *
   * <p>Only an entry instance that hears a majority does so: one that is cut off must not evict the
   * others. One responsive member proposes each eviction.
   */
  private static Transition evict(State state, long now) {
    if (!state.isMember() || !hasResponsiveMajority(state, now)) {
      return Transition.of(state);
    }
    Set<MemberId> responsive = Liveness.responsiveMembers(state, now);
    Transition transition = Transition.of(state);
    for (Member member : unresponsive(state, now)) {
      boolean isProposer =
          Rendezvous.position("evict/" + member.id(), responsive, state.localId()) == 0;
      boolean changePending =
          state.appliedState().membership().pending().stream()
              .anyMatch(change -> change.subject().equals(member.id()));
      if (isProposer && !changePending) {
        transition =
            transition.then(
                s ->
                    OutboxRules.append(
                        s, new RecordBody.MemberEvicted(member.id(), member.incarnation()), now));
      }
    }
    return transition;
  }

  private static boolean hasResponsiveMajority(State state, long now) {
    return Membership.isMajority(
        Liveness.responsiveMembers(state, now),
        state.appliedState().membership().active().keySet());
  }

  /** Returns the other active members from which no heartbeat came within the eviction time. */
  private static List<Member> unresponsive(State state, long now) {
    long timeout = state.localMember().timing().evictAfter();
    return state.appliedState().membership().active().values().stream()
        .filter(member -> !member.id().equals(state.localId()))
        .filter(
            member -> {
              PeerView view = state.peers().getOrInitial(member.id(), now);
              return now - view.lastReceivedAt() > timeout;
            })
        .toList();
  }
}
