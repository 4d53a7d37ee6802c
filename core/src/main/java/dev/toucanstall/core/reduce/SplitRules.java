package dev.toucanstall.core.reduce;

import dev.toucanstall.core.fold.Epoch;
import dev.toucanstall.core.fold.FleetInstance;
import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.model.Rendezvous;
import dev.toucanstall.core.peer.SlotKey;
import dev.toucanstall.core.record.Member;
import dev.toucanstall.core.state.BorrowedSlots;
import dev.toucanstall.core.state.PeerView;
import dev.toucanstall.core.state.SlotUsage;
import dev.toucanstall.core.state.State;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Splits every limit evenly among the members of an epoch. Stateless.
 *
 * <p>A new split shrinks before it grows: until every holder of an earlier epoch has shrunk to the
 * new one or is fenced, this instance uses the least of its shares in all epochs since.
 */
final class SplitRules {

  private SplitRules() {}

  /** Returns the slots that this instance is home to. */
  static int home(State state, SlotKey key, long now) {
    if (!state.isMember() || now < state.slots().quarantineUntil()) {
      return 0;
    }
    List<Epoch> epochs = state.appliedState().membership().epochs();
    long cleared = state.slots().clearedEpoch();
    if (epochs.get(0).number() > cleared) {
      return 0;
    }
    int total = total(state, key);
    int least = Integer.MAX_VALUE;
    for (Epoch epoch : epochs) {
      if (epoch.number() >= cleared) {
        least = Math.min(least, share(key, total, epoch, state.localId()));
      }
    }
    return least;
  }

  /** Returns the slots of a kind across the fleet. */
  static int total(State state, SlotKey key) {
    return switch (key) {
      case SlotKey.OfTeam ofTeam -> state.appliedState().settings().limit(ofTeam.team());
      case SlotKey.OfInstance ofInstance -> {
        FleetInstance instance = state.appliedState().fleet().get(ofInstance.instance());
        yield instance == null ? 0 : instance.observed().slots();
      }
    };
  }

  /** Returns a member's share of a total in an epoch; the shares of all members add up to it. */
  static int share(SlotKey key, int total, Epoch epoch, MemberId member) {
    if (epoch.number() < 0 || !epoch.members().contains(member)) {
      return epoch.number() < 0 ? Integer.MAX_VALUE : 0;
    }
    int count = epoch.members().size();
    int rest = total % count;
    int base = total / count;
    if (rest == 0) {
      return base;
    }
    return Rendezvous.position(key.subject(), epoch.members(), member) < rest ? base + 1 : base;
  }

  /** Moves the cleared epoch on as far as every earlier holder has shrunk or is fenced. */
  static State advanceCleared(State state, long now) {
    State next = state;
    List<Epoch> epochs = state.appliedState().membership().epochs();
    for (int i = 0; i + 1 < epochs.size(); i++) {
      boolean due = epochs.get(i).number() == next.slots().clearedEpoch();
      if (due && isCleared(next, epochs.get(i), epochs.get(i + 1), now)) {
        next = next.withSlots(next.slots().withClearedEpoch(epochs.get(i + 1).number()));
      }
    }
    return skipForgotten(next, epochs, now);
  }

  /** After so many epochs that the cleared one is forgotten, waits until all are fenced. */
  private static State skipForgotten(State state, List<Epoch> epochs, long now) {
    long oldest = epochs.get(0).number();
    if (oldest <= state.slots().clearedEpoch()) {
      return state;
    }
    Long foldedAt = state.slots().epochFoldedAt().get(oldest);
    boolean fenced =
        foldedAt != null && now - foldedAt > state.localMember().timing().fencingDelay();
    return fenced ? state.withSlots(state.slots().withClearedEpoch(oldest)) : state;
  }

  private static boolean isCleared(State state, Epoch before, Epoch after, long now) {
    return before.members().stream().allMatch(m -> hasShrunk(state, m, after, now));
  }

  private static boolean hasShrunk(State state, MemberId member, Epoch after, long now) {
    if (member.equals(state.localId())) {
      return shrunkTo(state, now) >= after.number();
    }
    Member active = state.appliedState().membership().active().get(member);
    PeerView view = state.peers().get(member);
    boolean reported =
        active != null
            && view != null
            && view.incarnation() == active.incarnation()
            && view.shrunkToEpoch() >= after.number();
    return reported || isGone(state, member, after, now);
  }

  private static boolean isGone(State state, MemberId member, Epoch after, long now) {
    if (after.members().contains(member)) {
      return false;
    }
    if (!Objects.equals(after.evicted().orElse(null), member)) {
      return true;
    }
    Long foldedAt = state.slots().epochFoldedAt().get(after.number());
    return foldedAt != null && now - foldedAt > state.localMember().timing().fencingDelay();
  }

  /**
   * Returns the newest epoch to whose split this instance's own use has shrunk. Epochs before the
   * cleared one no longer bind anybody.
   */
  static long shrunkTo(State state, long now) {
    if (now < state.slots().quarantineUntil()) {
      return Long.MIN_VALUE;
    }
    long cleared = state.slots().clearedEpoch();
    long reached = cleared;
    for (Epoch epoch : state.appliedState().membership().epochs()) {
      if (epoch.number() > cleared && !fits(state, epoch, now)) {
        return reached;
      }
      reached = Math.max(reached, epoch.number());
    }
    return reached;
  }

  private static boolean fits(State state, Epoch epoch, long now) {
    if (epoch.number() < 0) {
      return true;
    }
    for (Map.Entry<SlotKey, SlotUsage> entry : state.slots().usages().entrySet()) {
      SlotUsage use = entry.getValue();
      int held = use.running() + use.lentCount(now) - borrowedCount(use);
      if (held > 0
          && held > share(entry.getKey(), total(state, entry.getKey()), epoch, state.localId())) {
        return false;
      }
    }
    return true;
  }

  private static int borrowedCount(SlotUsage use) {
    return use.borrowed().stream().mapToInt(BorrowedSlots::count).sum();
  }
}
