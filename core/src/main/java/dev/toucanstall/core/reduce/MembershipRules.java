package dev.toucanstall.core.reduce;

import dev.toucanstall.core.fold.MemberChange;
import dev.toucanstall.core.fold.Membership;
import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.model.Rendezvous;
import dev.toucanstall.core.record.Member;
import dev.toucanstall.core.record.RecordBody;
import dev.toucanstall.core.state.Life;
import dev.toucanstall.core.state.PeerView;
import dev.toucanstall.core.state.State;
import java.util.List;
import java.util.Set;

/**
 * Proposes changes of membership to the log: the joining of this entry instance, acknowledgements and
 * evictions. Stateless.
 */
final class MembershipRules {

  private MembershipRules() {}

  /**
   * Appends the records that are due. Does nothing while the log is not confirmed or after this entry
   * instance has left.
   */
  static Step propose(State state, long now) {
    if (!Freshness.isLogConfirmed(state, now) || state.self().life() == Life.LEFT) {
      return Step.of(state);
    }
    return join(state, now).then(s -> acknowledge(s, now)).then(s -> evict(s, now));
  }

  /** Proposes to join unless this incarnation is an active member, is joining or is stopping. */
  private static Step join(State state, long now) {
    boolean wanted = !state.self().isStopping() && !state.isMember() && !isJoining(state);
    if (!wanted) {
      return Step.of(state);
    }
    State prepared = state.self().life() == Life.JOINING ? quarantine(state) : state;
    return OutboxRules.append(prepared, new RecordBody.MemberJoined(state.self().member()), now);
  }

  private static boolean isJoining(State state) {
    return state.folded().membership().pending().stream()
        .anyMatch(
            change ->
                change instanceof MemberChange.Joining joining
                    && joining.member().equals(state.self().member()));
  }

  /**
   * Accounts for an earlier incarnation of this entry instance, if the log knows of one.
   *
   * <p>Until the claim window has passed, claims granted by that incarnation may be missing here.
   * Unless it left gracefully, it may also still use slots, so that none are allocated to this entry
   * instance for as long as a loan stays reserved.
   */
  private static State quarantine(State state) {
    Membership membership = state.folded().membership();
    boolean known =
        membership.active().containsKey(state.me())
            || membership.epochs().stream().anyMatch(e -> e.members().contains(state.me()));
    if (!known) {
      return state;
    }
    long started = state.self().startedAt();
    long unsure = started + state.self().timing().claimWindow();
    long until = leftGracefully(state) ? 0 : started + state.self().timing().loanCounted();
    return state
        .withClaims(state.claims().withUnsureUntil(unsure))
        .withSlots(state.slots().withQuarantine(until));
  }

  /**
   * Tells whether the earlier incarnation left with nothing in flight: it is not an active member and
   * no retained epoch began with its eviction.
   */
  private static boolean leftGracefully(State state) {
    Membership membership = state.folded().membership();
    if (membership.active().containsKey(state.me())) {
      return false;
    }
    return membership.epochs().stream()
        .noneMatch(epoch -> epoch.evicted().filter(state.me()::equals).isPresent());
  }

  /** Acknowledges the first pending change of membership, if the acknowledgement is required. */
  private static Step acknowledge(State state, long now) {
    Membership membership = state.folded().membership();
    if (membership.pending().isEmpty()) {
      return Step.of(state);
    }
    Member mine = membership.reachable().get(state.me());
    boolean asked =
        membership.groups().stream().anyMatch(group -> group.contains(state.me()))
            && mine != null
            && mine.incarnation() == state.self().member().incarnation()
            && !membership.acknowledged().contains(state.me());
    long change = membership.pending().get(0).offset();
    return asked
        ? OutboxRules.append(state, new RecordBody.MembershipAcknowledged(change), now)
        : Step.of(state);
  }

  /**
   * Proposes to evict members that have been unresponsive for too long.
   *
   * <p>Only an entry instance that hears a majority does so: one that is cut off must not evict the
   * others. One responsive member proposes each eviction.
   */
  private static Step evict(State state, long now) {
    if (!state.isMember() || !hearsMajority(state, now)) {
      return Step.of(state);
    }
    Set<MemberId> live = Liveness.live(state, now);
    Step step = Step.of(state);
    for (Member member : silent(state, now)) {
      boolean mine = Rendezvous.place("evict/" + member.id(), live, state.me()) == 0;
      boolean queued =
          state.folded().membership().pending().stream()
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
        Liveness.live(state, now), state.folded().membership().active().keySet());
  }

  /** Returns the other active members from which no heartbeat came within the eviction time. */
  private static List<Member> silent(State state, long now) {
    long patience = state.self().timing().evictAfter();
    return state.folded().membership().active().values().stream()
        .filter(member -> !member.id().equals(state.me()))
        .filter(
            member -> {
              PeerView view = state.peers().getOrUnheard(member.id(), now);
              return now - view.heardAt() > patience;
            })
        .toList();
  }
}
