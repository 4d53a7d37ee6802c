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
 * Lends slots to peers and borrows from them. Pure.
 *
 * <p>The lender counts a lent slot as used until it is returned, or until the lease has lapsed and
 * the longest deadline of a request under it is past. The borrower counts the lease from when it
 * sent its question, which is earlier than when the lender does, so clocks need not agree.
 */
final class LoanReducer {

  private static final long ANSWER_PATIENCE_NANOS = Duration.ofMillis(300).toNanos();
  private static final long PAUSE_NANOS = Duration.ofMillis(100).toNanos();
  private static final int MOST_ASKED = 4;

  private LoanReducer() {}

  /** Asks the next peer for slots, unless a question is open or all refused lately. */
  static Transition ask(State state, SlotKey key, int wanted, long now) {
    SlotUsage use = SlotRules.current(state, key, now);
    boolean open = use.pendingLoanId() != 0 && now - use.loanRequestedAt() < ANSWER_PATIENCE_NANOS;
    List<MemberId> peers = lenders(state);
    if (open || now < use.nextLoanRequestAt() || peers.isEmpty()) {
      return Transition.of(state);
    }
    MemberId peer = peers.get(Math.floorMod(use.nextLender(), peers.size()));
    State numbered = state.withSlots(state.slots().withNextLoanId());
    long ask = numbered.slots().lastLoanId();
    int count = Math.clamp(wanted, 1, MOST_ASKED);
    return Transition.of(
        numbered.withSlots(numbered.slots().with(key, use.withLoanRequested(ask, now))),
        new Effect.Send(peer, new PeerMessage.LoanAsked(ask, key, count)));
  }

  private static List<MemberId> lenders(State state) {
    return state.peers().views().entrySet().stream()
        .filter(e -> e.getValue().connected() && Freshness.isCurrent(state, e.getKey()))
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Answers a peer's question. */
  static Transition asked(
      State state, MemberId peer, long incarnation, PeerMessage.LoanAsked asked, long now) {
    SlotUsage use = SlotRules.current(state, asked.key(), now);
    boolean may =
        Freshness.isFresh(state, now)
            && state.appliedState().membership().isActive(peer, incarnation)
            && !state.localMember().isStopping()
            && !isNeededHere(state, asked.key());
    int free = use.allocated() - use.lentCount(now) - use.running();
    int count = may && free > 0 ? Math.min(asked.count(), Math.max(1, free / 2)) : 0;
    PeerMessage answer = new PeerMessage.LoanAnswered(asked.ask(), asked.key(), count);
    if (count == 0) {
      return Transition.of(state, new Effect.Send(peer, answer));
    }
    LentSlots loan =
        new LentSlots(
            peer,
            incarnation,
            asked.ask(),
            count,
            now + state.localMember().timing().loanReservation());
    List<LentSlots> lent = Stream.concat(use.lent().stream(), Stream.of(loan)).toList();
    return Transition.of(
        state.withSlots(state.slots().with(asked.key(), use.withLent(lent))),
        new Effect.Send(peer, answer));
  }

  private static boolean isNeededHere(State state, SlotKey key) {
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

  /** Takes a peer's answer; a loan that nobody waits for any more is returned at once. */
  static Transition answered(
      State state, MemberId peer, PeerMessage.LoanAnswered answered, long now) {
    SlotUsage use = SlotRules.current(state, answered.key(), now);
    if (use.pendingLoanId() != answered.ask()) {
      return answered.count() == 0
          ? Transition.of(state)
          : Transition.of(state, returned(peer, answered.ask(), answered.key()));
    }
    if (answered.count() == 0) {
      return refused(state, answered.key(), use, now);
    }
    long usableUntil = use.loanRequestedAt() + state.localMember().timing().loanLease();
    BorrowedSlots loan = new BorrowedSlots(peer, answered.ask(), answered.count(), usableUntil);
    SlotUsage next =
        use.withLoanAnswered(0, 0)
            .withBorrowed(Stream.concat(use.borrowed().stream(), Stream.of(loan)).toList());
    return Transition.of(state.withSlots(state.slots().with(answered.key(), next)))
        .then(s -> pumpFor(s, answered.key(), now));
  }

  private static Transition refused(State state, SlotKey key, SlotUsage use, long now) {
    int refusals = use.consecutiveRefusals() + 1;
    boolean all = refusals >= lenders(state).size();
    SlotUsage next = use.withLoanAnswered(all ? 0 : refusals, all ? now + PAUSE_NANOS : 0);
    State answered = state.withSlots(state.slots().with(key, next));
    return all ? Transition.of(answered) : pumpFor(answered, key, now);
  }

  private static Transition pumpFor(State state, SlotKey key, long now) {
    return switch (key) {
      case SlotKey.OfTeam ofTeam -> pumpTeam(state, ofTeam.team(), now);
      case SlotKey.OfInstance ofInstance -> {
        FleetInstance instance = state.appliedState().fleet().get(ofInstance.instance());
        yield instance == null ? Transition.of(state) : Pump.pump(state, instance.pool(), now);
      }
    };
  }

  private static Transition pumpTeam(State state, TeamId team, long now) {
    Transition step = Transition.of(state);
    for (var entry : state.traffic().queuesByPool().entrySet()) {
      if (entry.getValue().waitingOf(team) > 0) {
        step = step.then(s -> Pump.pump(s, entry.getKey(), now));
      }
    }
    return step;
  }

  /** Takes slots back from a peer. */
  static Transition takeBack(
      State state, MemberId peer, PeerMessage.LoanReturned returned, long now) {
    SlotUsage use = SlotRules.current(state, returned.key(), now);
    List<LentSlots> left =
        use.lent().stream()
            .filter(loan -> !(loan.borrower().equals(peer) && loan.loanId() == returned.ask()))
            .toList();
    State next = state.withSlots(state.slots().with(returned.key(), use.withLent(left)));
    return pumpFor(next, returned.key(), now);
  }

  /** Returns lapsed loans under which nothing runs, and forgets lent slots that lapsed. */
  static Transition settleAll(State state, long now) {
    Transition step = Transition.of(state);
    for (Map.Entry<SlotKey, SlotUsage> entry : state.slots().usages().entrySet()) {
      SlotUsage use = entry.getValue();
      if (!use.borrowed().isEmpty() || !use.lent().isEmpty()) {
        step = step.then(s -> settle(s, entry.getKey(), now));
      }
    }
    return step;
  }

  /** Settles the loans of one kind of slots. */
  static Transition settle(State state, SlotKey key, long now) {
    SlotUsage use = SlotRules.current(state, key, now);
    List<LentSlots> lent = use.lent().stream().filter(loan -> loan.reservedUntil() > now).toList();
    SlotUsage kept = lent.size() == use.lent().size() ? use : use.withLent(lent);
    boolean stopping = state.localMember().isStopping();
    int owned = kept.allocated() - kept.lentCount(now);
    boolean covered = kept.running() <= (stopping ? Math.max(0, owned) : kept.capacity(now));
    List<BorrowedSlots> ending =
        covered
            ? kept.borrowed().stream()
                .filter(loan -> stopping || loan.usableUntil() <= now)
                .toList()
            : List.of();
    List<BorrowedSlots> left = kept.borrowed().stream().filter(l -> !ending.contains(l)).toList();
    Transition step =
        Transition.of(state.withSlots(state.slots().with(key, kept.withBorrowed(left))));
    for (BorrowedSlots loan : ending) {
      step = step.plus(returned(loan.lender(), loan.loanId(), key));
    }
    return step;
  }

  private static Effect returned(MemberId to, long ask, SlotKey key) {
    return new Effect.Send(to, new PeerMessage.LoanReturned(ask, key));
  }
}
