package dev.toucanstall.core.reduce;

import dev.toucanstall.core.effect.Effect;
import dev.toucanstall.core.fold.FleetInstance;
import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.model.TeamId;
import dev.toucanstall.core.peer.PeerMessage;
import dev.toucanstall.core.peer.SlotKey;
import dev.toucanstall.core.state.BorrowedSlots;
import dev.toucanstall.core.state.LentSlots;
import dev.toucanstall.core.state.SlotUsage;
import dev.toucanstall.core.state.State;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Reducer of loans: lends slots to peers and borrows slots from them. Pure.
 *
 * <p>The lender counts a lent slot as used until it is returned, or until the lease has expired and
 * the longest deadline of a request started under it has passed. The borrower counts the lease from
 * the time at which it sent the request, which is before the lender received it. The borrower's
 * lease therefore ends first, without synchronized clocks.
 */
final class LoanReducer {

  /** Time for a peer to answer before the next peer is asked. */
  private static final long ANSWER_TIMEOUT_NANOS = Duration.ofMillis(300).toNanos();

  /** Backoff after all peers have refused a loan. */
  private static final long REFUSAL_BACKOFF_NANOS = Duration.ofMillis(100).toNanos();

  /** Maximum number of slots requested by one message. */
  private static final int MAX_REQUESTED_SLOTS = 4;

  private LoanReducer() {}

  /**
   * Requests a loan from the next peer. Does nothing while an earlier request is pending or shortly
   * after all peers have refused.
   */
  static Transition requestLoan(State state, SlotKey key, int missingSlots, long now) {
    SlotUsage usage = SlotRules.currentUsage(state, key, now);
    boolean pending =
        usage.pendingLoanId() != 0 && now - usage.loanRequestedAt() < ANSWER_TIMEOUT_NANOS;
    List<MemberId> peers = lenders(state);
    if (pending || now < usage.nextLoanRequestAt() || peers.isEmpty()) {
      return Transition.of(state);
    }
    MemberId peer = peers.get(Math.floorMod(usage.nextLender(), peers.size()));
    State numbered = state.withSlots(state.slots().withNextLoanId());
    long loanId = numbered.slots().lastLoanId();
    int count = Math.clamp(missingSlots, 1, MAX_REQUESTED_SLOTS);
    return Transition.of(
        numbered.withSlots(numbered.slots().with(key, usage.withLoanRequested(loanId, now))),
        new Effect.Send(peer, new PeerMessage.LoanAsked(loanId, key, count)));
  }

  /** Returns the connected peers that are active members, in a fixed order. */
  private static List<MemberId> lenders(State state) {
    return state.peers().views().entrySet().stream()
        .filter(e -> e.getValue().connected() && Freshness.isCurrent(state, e.getKey()))
        .map(Map.Entry::getKey)
        .toList();
  }

  /**
   * Answers a peer's request for a loan. Lends at most half of the free slots but at least one, and
   * none while requests wait here for the same slots.
   */
  static Transition handleRequest(
      State state, MemberId peer, long incarnation, PeerMessage.LoanAsked request, long now) {
    SlotUsage usage = SlotRules.currentUsage(state, request.key(), now);
    boolean permitted =
        Freshness.isFresh(state, now)
            && state.appliedState().membership().isActive(peer, incarnation)
            && !state.localMember().isStopping()
            && !isNeededLocally(state, request.key());
    int freeSlots = usage.allocated() - usage.lentCount(now) - usage.running();
    int count =
        permitted && freeSlots > 0 ? Math.min(request.count(), Math.max(1, freeSlots / 2)) : 0;
    PeerMessage answer = new PeerMessage.LoanAnswered(request.ask(), request.key(), count);
    if (count == 0) {
      return Transition.of(state, new Effect.Send(peer, answer));
    }
    LentSlots loan =
        new LentSlots(
            peer,
            incarnation,
            request.ask(),
            count,
            now + state.localMember().timing().loanReservation());
    List<LentSlots> lent = Stream.concat(usage.lent().stream(), Stream.of(loan)).toList();
    return Transition.of(
        state.withSlots(state.slots().with(request.key(), usage.withLent(lent))),
        new Effect.Send(peer, answer));
  }

  private static boolean isNeededLocally(State state, SlotKey key) {
    return switch (key) {
      case SlotKey.OfTeam ofTeam ->
          state.traffic().queuesByPool().values().stream()
              .anyMatch(pool -> pool.waitingOf(ofTeam.team()) > 0);
      case SlotKey.OfInstance ofInstance -> {
        FleetInstance instance = state.appliedState().fleet().get(ofInstance.instance());
        yield instance == null || state.traffic().queueOf(instance.pool()).waiting() > 0;
      }
    };
  }

  /**
   * Handles a peer's answer to a request for a loan. A loan whose request is no longer pending is
   * returned at once.
   */
  static Transition handleAnswer(
      State state, MemberId peer, PeerMessage.LoanAnswered answer, long now) {
    SlotUsage usage = SlotRules.currentUsage(state, answer.key(), now);
    if (usage.pendingLoanId() != answer.ask()) {
      return answer.count() == 0
          ? Transition.of(state)
          : Transition.of(state, returnEffect(peer, answer.ask(), answer.key()));
    }
    if (answer.count() == 0) {
      return handleRefusal(state, answer.key(), usage, now);
    }
    long usableUntil = usage.loanRequestedAt() + state.localMember().timing().loanLease();
    BorrowedSlots loan = new BorrowedSlots(peer, answer.ask(), answer.count(), usableUntil);
    SlotUsage next =
        usage
            .withLoanAnswered(0, 0)
            .withBorrowed(Stream.concat(usage.borrowed().stream(), Stream.of(loan)).toList());
    return Transition.of(state.withSlots(state.slots().with(answer.key(), next)))
        .then(s -> dispatchFor(s, answer.key(), now));
  }

  /**
   * Counts a refusal. Backs off once all peers have refused in a row, else dispatches again, which
   * requests the loan from the next peer.
   */
  private static Transition handleRefusal(State state, SlotKey key, SlotUsage usage, long now) {
    int refusals = usage.consecutiveRefusals() + 1;
    boolean allRefused = refusals >= lenders(state).size();
    SlotUsage next =
        usage.withLoanAnswered(
            allRefused ? 0 : refusals, allRefused ? now + REFUSAL_BACKOFF_NANOS : 0);
    State updated = state.withSlots(state.slots().with(key, next));
    return allRefused ? Transition.of(updated) : dispatchFor(updated, key, now);
  }

  /** Dispatches the pools whose requests can use slots of a kind. */
  private static Transition dispatchFor(State state, SlotKey key, long now) {
    return switch (key) {
      case SlotKey.OfTeam ofTeam -> dispatchTeam(state, ofTeam.team(), now);
      case SlotKey.OfInstance ofInstance -> {
        FleetInstance instance = state.appliedState().fleet().get(ofInstance.instance());
        yield instance == null
            ? Transition.of(state)
            : DispatchRules.dispatch(state, instance.pool(), now);
      }
    };
  }

  private static Transition dispatchTeam(State state, TeamId team, long now) {
    Transition transition = Transition.of(state);
    for (var entry : state.traffic().queuesByPool().entrySet()) {
      if (entry.getValue().waitingOf(team) > 0) {
        transition = transition.then(s -> DispatchRules.dispatch(s, entry.getKey(), now));
      }
    }
    return transition;
  }

  static Transition handleReturn(
      State state, MemberId peer, PeerMessage.LoanReturned loanReturn, long now) {
    SlotUsage usage = SlotRules.currentUsage(state, loanReturn.key(), now);
    List<LentSlots> remaining =
        usage.lent().stream()
            .filter(loan -> !(loan.borrower().equals(peer) && loan.loanId() == loanReturn.ask()))
            .toList();
    State next = state.withSlots(state.slots().with(loanReturn.key(), usage.withLent(remaining)));
    return dispatchFor(next, loanReturn.key(), now);
  }

  static Transition expireAllLoans(State state, long now) {
    Transition transition = Transition.of(state);
    for (Map.Entry<SlotKey, SlotUsage> entry : state.slots().usages().entrySet()) {
      SlotUsage usage = entry.getValue();
      if (!usage.borrowed().isEmpty() || !usage.lent().isEmpty()) {
        transition = transition.then(s -> expireLoans(s, entry.getKey(), now));
      }
    }
    return transition;
  }

  /**
   * Removes the expired loans of one kind of slots.
   *
   * <p>Slots lent to peers are removed when their reservation has ended. Borrowed slots are
   * returned when their lease has expired, or at once during a stop, as soon as the remaining slots
   * cover the running requests.
   */
  static Transition expireLoans(State state, SlotKey key, long now) {
    SlotUsage usage = SlotRules.currentUsage(state, key, now);
    List<LentSlots> lent =
        usage.lent().stream().filter(loan -> loan.reservedUntil() > now).toList();
    SlotUsage retained = lent.size() == usage.lent().size() ? usage : usage.withLent(lent);
    boolean stopping = state.localMember().isStopping();
    int owned = retained.allocated() - retained.lentCount(now);
    boolean covered =
        retained.running() <= (stopping ? Math.max(0, owned) : retained.capacity(now));
    List<BorrowedSlots> ended =
        covered
            ? retained.borrowed().stream()
                .filter(loan -> stopping || loan.usableUntil() <= now)
                .toList()
            : List.of();
    List<BorrowedSlots> remaining =
        retained.borrowed().stream().filter(loan -> !ended.contains(loan)).toList();
    Transition transition =
        Transition.of(state.withSlots(state.slots().with(key, retained.withBorrowed(remaining))));
    for (BorrowedSlots loan : ended) {
      transition = transition.plus(returnEffect(loan.lender(), loan.loanId(), key));
    }
    return transition;
  }

  private static Effect returnEffect(MemberId to, long loanId, SlotKey key) {
    return new Effect.Send(to, new PeerMessage.LoanReturned(loanId, key));
  }
}
