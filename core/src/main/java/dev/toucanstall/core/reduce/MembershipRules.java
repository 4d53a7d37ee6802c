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

/** Proposes changes of members to the log: own joining, acknowledgements, evictions. Stateless. */
final class MembershipRules {

  private MembershipRules() {}

  /** Proposes what is due; does nothing while the log is not confirmed. */
  static Transition propose(State state, long now) {
    if (!Freshness.isLogConfirmed(state, now)
        || state.localMember().lifecycle() == LifecycleState.LEFT) {
      return Transition.of(state);
    }
    return join(state, now).then(s -> acknowledge(s, now)).then(s -> evict(s, now));
  }

  private static Transition join(State state, long now) {
    boolean wanted = !state.localMember().isStopping() && !state.isMember() && !isJoining(state);
    if (!wanted) {
      return Transition.of(state);
    }
    State prepared =
        state.localMember().lifecycle() == LifecycleState.JOINING ? quarantine(state) : state;
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

  /** Accounts for what an earlier start of this instance may have left behind. */
  private static State quarantine(State state) {
    Membership membership = state.appliedState().membership();
    boolean known =
        membership.active().containsKey(state.localId())
            || membership.epochs().stream().anyMatch(e -> e.members().contains(state.localId()));
    if (!known) {
      return state;
    }
    long started = state.localMember().startedAt();
    long unsure = started + state.localMember().timing().claimWindow();
    long until =
        leftGracefully(state) ? 0 : started + state.localMember().timing().loanReservation();
    return state
        .withClaims(state.claims().withIncompleteUntil(unsure))
        .withSlots(state.slots().withQuarantineUntil(until));
  }

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
    Member mine = membership.allMembers().get(state.localId());
    boolean asked =
        membership.quorumGroups().stream().anyMatch(group -> group.contains(state.localId()))
            && mine != null
            && mine.incarnation() == state.localMember().identity().incarnation()
            && !membership.acknowledged().contains(state.localId());
    long change = membership.pending().get(0).offset();
    return asked
        ? OutboxRules.append(state, new RecordBody.MembershipAcknowledged(change), now)
        : Transition.of(state);
  }

  private static Transition evict(State state, long now) {
    if (!state.isMember() || !hearsMajority(state, now)) {
      return Transition.of(state);
    }
    Set<MemberId> live = Liveness.live(state, now);
    Transition step = Transition.of(state);
    for (Member member : silent(state, now)) {
      boolean mine = Rendezvous.position("evict/" + member.id(), live, state.localId()) == 0;
      boolean queued =
          state.appliedState().membership().pending().stream()
              .anyMatch(change -> change.subject().equals(member.id()));
      if (mine && !queued) {
        step =
            step.then(
                s ->
                    OutboxRules.append(
                        s, new RecordBody.MemberEvicted(member.id(), member.incarnation()), now));
      }
    }
    return step;
  }

  private static boolean hearsMajority(State state, long now) {
    return Membership.isMajority(
        Liveness.live(state, now), state.appliedState().membership().active().keySet());
  }

  private static List<Member> silent(State state, long now) {
    long patience = state.localMember().timing().evictAfter();
    return state.appliedState().membership().active().values().stream()
        .filter(member -> !member.id().equals(state.localId()))
        .filter(
            member -> {
              PeerView view = state.peers().getOrInitial(member.id(), now);
              return now - view.lastReceivedAt() > patience;
            })
        .toList();
  }
}
