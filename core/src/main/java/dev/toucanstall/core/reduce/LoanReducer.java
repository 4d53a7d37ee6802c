package dev.toucanstall.core.reduce;

import dev.toucanstall.core.effect.Effect;
import dev.toucanstall.core.fold.FleetInstance;
import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.model.TeamId;
import dev.toucanstall.core.peer.PeerMessage;
import dev.toucanstall.core.peer.SlotKey;
import dev.toucanstall.core.state.LoanIn;
import dev.toucanstall.core.state.LoanOut;
import dev.toucanstall.core.state.SlotUse;
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
 * the time at which it sent the request, which is before the lender received it. The borrower's lease
 * therefore ends first, without synchronized clocks.
 */
final class LoanReducer {

  /** Time for a peer to answer before the next peer is asked. */
  private static final long ANSWER_PATIENCE_NANOS = Duration.ofMillis(300).toNanos();
  /** Backoff after all peers have refused a loan. */
  private static final long PAUSE_NANOS = Duration.ofMillis(100).toNanos();
  /** Maximum number of slots requested by one message. */
  private static final int MOST_ASKED = 4;

  private LoanReducer() {}

  /**
   * Requests a loan from the next peer. Does nothing while an earlier request is pending or shortly
   * after all peers have refused.
   *
   * @param wanted number of missing slots
   */
  static Step ask(State state, SlotKey key, int wanted, long now) {
    SlotUse use = SlotRules.current(state, key, now);
    boolean open = use.openAsk() != 0 && now - use.askedAt() < ANSWER_PATIENCE_NANOS;
    List<MemberId> peers = lenders(state);
    if (open || now < use.askAgainAt() || peers.isEmpty()) {
      return Step.of(state);
    }
    MemberId peer = peers.get(Math.floorMod(use.nextPeer(), peers.size()));
    State numbered = state.withSlots(state.slots().withNextAsk());
    long ask = numbered.slots().lastAsk();
    int count = Math.clamp(wanted, 1, MOST_ASKED);
    return Step.of(
        numbered.withSlots(numbered.slots().with(key, use.asking(ask, now))),
        new Effect.Send(peer, new PeerMessage.LoanAsked(ask, key, count)));
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
  static Step asked(
      State state, MemberId peer, long incarnation, PeerMessage.LoanAsked asked, long now) {
    SlotUse use = SlotRules.current(state, asked.key(), now);
    boolean may =
        Freshness.isFresh(state, now)
            && state.folded().membership().isActive(peer, incarnation)
            && !state.self().isStopping()
            && !isNeededHere(state, asked.key());
    int free = use.home() - use.lentCount(now) - use.running();
    int count = may && free > 0 ? Math.min(asked.count(), Math.max(1, free / 2)) : 0;
    PeerMessage answer = new PeerMessage.LoanAnswered(asked.ask(), asked.key(), count);
    if (count == 0) {
      return Step.of(state, new Effect.Send(peer, answer));
    }
    LoanOut loan =
        new LoanOut(
            peer, incarnation, asked.ask(), count, now + state.self().timing().loanCounted());
    List<LoanOut> lent = Stream.concat(use.lent().stream(), Stream.of(loan)).toList();
    return Step.of(
        state.withSlots(state.slots().with(asked.key(), use.withLent(lent))),
        new Effect.Send(peer, answer));
  }

  /** Tells whether requests at this entry instance wait for slots of a kind. */
  private static boolean isNeededHere(State state, SlotKey key) {
    return switch (key) {
      case SlotKey.OfTeam ofTeam ->
          state.traffic().pools().values().stream()
              .anyMatch(pool -> pool.waitingOf(ofTeam.team()) > 0);
      case SlotKey.OfInstance ofInstance -> {
        FleetInstance instance = state.folded().fleet().get(ofInstance.instance());
        yield instance == null || state.traffic().pool(instance.pool()).waiting() > 0;
      }
    };
  }

  /**
   * Handles a peer's answer to a request for a loan. A loan whose request is no longer pending is
   * returned at once.
   */
  static Step answered(State state, MemberId peer, PeerMessage.LoanAnswered answered, long now) {
    SlotUse use = SlotRules.current(state, answered.key(), now);
    if (use.openAsk() != answered.ask()) {
      return answered.count() == 0
          ? Step.of(state)
          : Step.of(state, returned(peer, answered.ask(), answered.key()));
    }
    if (answered.count() == 0) {
      return refused(state, answered.key(), use, now);
    }
    long usableUntil = use.askedAt() + state.self().timing().loanLease();
    LoanIn loan = new LoanIn(peer, answered.ask(), answered.count(), usableUntil);
    SlotUse next =
        use.answered(0, 0)
            .withBorrowed(Stream.concat(use.borrowed().stream(), Stream.of(loan)).toList());
    return Step.of(state.withSlots(state.slots().with(answered.key(), next)))
        .then(s -> pumpFor(s, answered.key(), now));
  }

  /**
   * Counts a refusal. Backs off once all peers have refused in a row, else dispatches again, which
   * requests the loan from the next peer.
   */
  private static Step refused(State state, SlotKey key, SlotUse use, long now) {
    int refusals = use.refusedInRow() + 1;
    boolean all = refusals >= lenders(state).size();
    SlotUse next = use.answered(all ? 0 : refusals, all ? now + PAUSE_NANOS : 0);
    State answered = state.withSlots(state.slots().with(key, next));
    return all ? Step.of(answered) : pumpFor(answered, key, now);
  }

  /** Dispatches the pools whose requests can use slots of a kind. */
  private static Step pumpFor(State state, SlotKey key, long now) {
    return switch (key) {
      case SlotKey.OfTeam ofTeam -> pumpTeam(state, ofTeam.team(), now);
      case SlotKey.OfInstance ofInstance -> {
        FleetInstance instance = state.folded().fleet().get(ofInstance.instance());
        yield instance == null ? Step.of(state) : Pump.pump(state, instance.pool(), now);
      }
    };
  }

  private static Step pumpTeam(State state, TeamId team, long now) {
    Step step = Step.of(state);
    for (var entry : state.traffic().pools().entrySet()) {
      if (entry.getValue().waitingOf(team) > 0) {
        step = step.then(s -> Pump.pump(s, entry.getKey(), now));
      }
    }
    return step;
  }

  /** Handles slots that a peer returns. */
  static Step takeBack(State state, MemberId peer, PeerMessage.LoanReturned returned, long now) {
    SlotUse use = SlotRules.current(state, returned.key(), now);
    List<LoanOut> left =
        use.lent().stream()
            .filter(loan -> !(loan.to().equals(peer) && loan.ask() == returned.ask()))
            .toList();
    State next = state.withSlots(state.slots().with(returned.key(), use.withLent(left)));
    return pumpFor(next, returned.key(), now);
  }

  /** Removes the expired loans of all kinds of slots. */
  static Step settleAll(State state, long now) {
    Step step = Step.of(state);
    for (Map.Entry<SlotKey, SlotUse> entry : state.slots().uses().entrySet()) {
      SlotUse use = entry.getValue();
      if (!use.borrowed().isEmpty() || !use.lent().isEmpty()) {
        step = step.then(s -> settle(s, entry.getKey(), now));
      }
    }
    return step;
  }

  /**
   * Removes the expired loans of one kind of slots.
   *
   * <p>Slots lent to peers are removed when their reservation has ended. Borrowed slots are returned
   * when their lease has expired, or at once during a stop, as soon as the remaining slots cover the
   * running requests.
   */
  static Step settle(State state, SlotKey key, long now) {
    SlotUse use = SlotRules.current(state, key, now);
    List<LoanOut> lent = use.lent().stream().filter(loan -> loan.countedUntil() > now).toList();
    SlotUse kept = lent.size() == use.lent().size() ? use : use.withLent(lent);
    boolean stopping = state.self().isStopping();
    int owned = kept.home() - kept.lentCount(now);
    boolean covered = kept.running() <= (stopping ? Math.max(0, owned) : kept.capacity(now));
    List<LoanIn> ending =
        covered
            ? kept.borrowed().stream()
                .filter(loan -> stopping || loan.usableUntil() <= now)
                .toList()
            : List.of();
    List<LoanIn> left = kept.borrowed().stream().filter(l -> !ending.contains(l)).toList();
    Step step = Step.of(state.withSlots(state.slots().with(key, kept.withBorrowed(left))));
    for (LoanIn loan : ending) {
      step = step.plus(returned(loan.from(), loan.ask(), key));
    }
    return step;
  }

  private static Effect returned(MemberId to, long ask, SlotKey key) {
    return new Effect.Send(to, new PeerMessage.LoanReturned(ask, key));
  }
}
