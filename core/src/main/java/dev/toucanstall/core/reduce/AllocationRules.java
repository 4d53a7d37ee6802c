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
 * Allocates slots to members by splitting every limit evenly among the members of an epoch.
 * Stateless.
 *
 * <p>After a change of membership, members shrink before others grow: until every member of an
 * earlier epoch has shrunk to its new share or is fenced, an entry instance uses the smallest of
 * its shares in all epochs since then. The sum over all members thereby never exceeds the limit.
 * The newest epoch before which no member uses slots any more is called the cleared epoch.
 */
final class AllocationRules {

  private AllocationRules() {}

  /**
   * Returns the slots of a kind that are allocated to this entry instance.
   *
   * @return 0 if this entry instance is not an active member, is in quarantine or no longer retains
   *     the cleared epoch
   */
  static int allocatedSlots(State state, SlotKey key, long now) {
    if (!state.isMember() || now < state.slots().quarantineUntil()) {
      return 0;
    }
    List<Epoch> epochs = state.appliedState().membership().epochs();
    long cleared = state.slots().clearedEpoch();
    if (epochs.get(0).number() > cleared) {
      return 0;
    }
    int total = totalSlots(state, key);
    int smallest = Integer.MAX_VALUE;
    for (Epoch epoch : epochs) {
      if (epoch.number() >= cleared) {
        smallest = Math.min(smallest, share(key, total, epoch, state.localId()));
      }
    }
    return smallest;
  }

  /** Returns the total number of slots of a kind: a team's limit or the slots of an instance. */
  static int totalSlots(State state, SlotKey key) {
    return switch (key) {
      case SlotKey.OfTeam ofTeam -> state.appliedState().settings().limit(ofTeam.team());
      case SlotKey.OfInstance ofInstance -> {
        FleetInstance instance = state.appliedState().fleet().get(ofInstance.instance());
        yield instance == null ? 0 : instance.observed().slots();
      }
    };
  }

  /**
   * Returns a member's share of a total in an epoch. The shares of all members add up to the total.
   *
   * @return 0 if the member is not in the epoch; {@code Integer.MAX_VALUE} in the epoch before the
   *     first member, which bounds no share
   */
  static int share(SlotKey key, int total, Epoch epoch, MemberId member) {
    if (epoch.number() < 0 || !epoch.members().contains(member)) {
      return epoch.number() < 0 ? Integer.MAX_VALUE : 0;
    }
    int count = epoch.members().size();
    int remainder = total % count;
    int base = total / count;
    if (remainder == 0) {
      return base;
    }
    return Rendezvous.position(key.subject(), epoch.members(), member) < remainder
        ? base + 1
        : base;
  }

  /**
   * Advances the cleared epoch past each epoch of which all members have shrunk to the next one or
   * are fenced.
   */
  static State advanceClearedEpoch(State state, long now) {
    State next = state;
    List<Epoch> epochs = state.appliedState().membership().epochs();
    for (int i = 0; i + 1 < epochs.size(); i++) {
      boolean atClearedEpoch = epochs.get(i).number() == next.slots().clearedEpoch();
      if (atClearedEpoch && isCleared(next, epochs.get(i), epochs.get(i + 1), now)) {
        next = next.withSlots(next.slots().withClearedEpoch(epochs.get(i + 1).number()));
      }
    }
    return advanceToRetainedEpoch(next, epochs, now);
  }

  /**
   * Advances the cleared epoch to the oldest retained epoch if the cleared epoch is no longer
   * retained. As the members of the cleared epoch are then unknown, this waits for the whole
   * fencing delay.
   */
  private static State advanceToRetainedEpoch(State state, List<Epoch> epochs, long now) {
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
    return before.members().stream().allMatch(member -> hasShrunk(state, member, after, now));
  }

  /**
   * Tells whether a member has shrunk to an epoch, by its own report in its current incarnation, or
   * no longer uses any slots.
   */
  private static boolean hasShrunk(State state, MemberId member, Epoch after, long now) {
    if (member.equals(state.localId())) {
      return shrunkToEpoch(state, now) >= after.number();
    }
    Member active = state.appliedState().membership().active().get(member);
    PeerView view = state.peers().get(member);
    boolean reported =
        active != null
            && view != null
            && view.incarnation() == active.incarnation()
            && view.shrunkToEpoch() >= after.number();
    return reported || hasReleasedSlots(state, member, after, now);
  }

  /**
   * Tells whether a member that is not in an epoch can no longer use slots. A member that left
   * gracefully has nothing in flight; an evicted one is fenced after the fencing delay.
   */
  private static boolean hasReleasedSlots(State state, MemberId member, Epoch after, long now) {
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
   * Returns the newest epoch such that the usage of this entry instance is within its shares in
   * that epoch and in all retained ones before it. Epochs before the cleared one bind no member.
   *
   * @return number of the epoch, {@code Long.MIN_VALUE} during quarantine
   */
  static long shrunkToEpoch(State state, long now) {
    if (now < state.slots().quarantineUntil()) {
      return Long.MIN_VALUE;
    }
    long cleared = state.slots().clearedEpoch();
    long shrunkTo = cleared;
    for (Epoch epoch : state.appliedState().membership().epochs()) {
      if (epoch.number() > cleared && !isWithinShares(state, epoch, now)) {
        return shrunkTo;
      }
      shrunkTo = Math.max(shrunkTo, epoch.number());
    }
    return shrunkTo;
  }

  /** Tells whether the slots in use here, without borrowed ones, fit the shares of an epoch. */
  private static boolean isWithinShares(State state, Epoch epoch, long now) {
    if (epoch.number() < 0) {
      return true;
    }
    for (Map.Entry<SlotKey, SlotUsage> entry : state.slots().usages().entrySet()) {
      SlotUsage usage = entry.getValue();
      int inUse = usage.running() + usage.lentCount(now) - borrowedCount(usage);
      if (inUse > 0
          && inUse
              > share(entry.getKey(), totalSlots(state, entry.getKey()), epoch, state.localId())) {
        return false;
      }
    }
    return true;
  }

  private static int borrowedCount(SlotUsage usage) {
    return usage.borrowed().stream().mapToInt(BorrowedSlots::count).sum();
  }
}
