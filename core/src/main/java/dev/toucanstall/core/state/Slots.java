package dev.toucanstall.core.state;

import dev.toucanstall.core.fold.Epoch;
import dev.toucanstall.core.peer.SlotKey;
import java.util.List;
import java.util.Objects;
import org.pcollections.HashPMap;
import org.pcollections.HashTreePMap;

/**
 * Usage of all slots on this entry instance. Immutable. Times are in nanoseconds of the monotonic
 * clock.
 *
 * @param usages usage of slots, by the team or instance whose running requests they limit
 * @param allocationVersion version of the inputs from which allocations are computed; an allocation
 *     computed for another version is computed again
 * @param clearedEpoch newest epoch before which no member uses slots any more, -1 if none; earlier
 *     epochs do not limit the allocation
 * @param quarantineUntil time before which an earlier incarnation of this entry instance may still
 *     use slots, so that none are allocated; 0 if there is no such time
 * @param epochFoldedAt time at which each retained epoch was folded, by the number of the epoch
 * @param lastLoanId id of the last requested loan, 0 if none
 */
public record Slots(
    HashPMap<SlotKey, SlotUsage> usages,
    long allocationVersion,
    long clearedEpoch,
    long quarantineUntil,
    HashPMap<Long, Long> epochFoldedAt,
    long lastLoanId) {

  /** Slots of an entry instance that uses none. */
  public static final Slots EMPTY =
      new Slots(HashTreePMap.empty(), 0, -1, 0, HashTreePMap.empty(), 0);

  /**
   * Returns the usage of the slots of one key.
   *
   * @param key the key, for a team or an instance
   * @return the usage, {@link SlotUsage#EMPTY} if none is recorded
   */
  public SlotUsage get(SlotKey key) {
    return Objects.requireNonNullElse(usages.get(key), SlotUsage.EMPTY);
  }

  /**
   * Returns a copy with the usage of one key added or replaced.
   *
   * @param key the key
   * @param usage the new usage
   * @return the new slots
   */
  public Slots with(SlotKey key, SlotUsage usage) {
    return withUsages(usages.plus(key, usage));
  }

  /**
   * Returns a copy with other usages.
   *
   * @param next usage by key
   * @return the new slots
   */
  public Slots withUsages(HashPMap<SlotKey, SlotUsage> next) {
    return new Slots(
        next, allocationVersion, clearedEpoch, quarantineUntil, epochFoldedAt, lastLoanId);
  }

  /**
   * Returns a copy with the next version of the allocation's inputs.
   *
   * @return the new slots
   */
  public Slots withNextAllocationVersion() {
    return new Slots(
        usages, allocationVersion + 1, clearedEpoch, quarantineUntil, epochFoldedAt, lastLoanId);
  }

  /**
   * Returns a copy with a newer cleared epoch, which begins a new version of the allocation's
   * inputs.
   *
   * @param epoch the epoch
   * @return the new slots
   */
  public Slots withClearedEpoch(long epoch) {
    return new Slots(
        usages, allocationVersion + 1, epoch, quarantineUntil, epochFoldedAt, lastLoanId);
  }

  /**
   * Returns a copy with the end of the quarantine, which begins a new version of the allocation's
   * inputs.
   *
   * @param until end of the quarantine, 0 if there is none
   * @return the new slots
   */
  public Slots withQuarantineUntil(long until) {
    return new Slots(usages, allocationVersion + 1, clearedEpoch, until, epochFoldedAt, lastLoanId);
  }

  /**
   * Returns a copy with the time at which an epoch was folded; begins a new version of the
   * allocation's inputs.
   *
   * @param epoch number of the epoch
   * @param foldedAt time at which the epoch was folded
   * @return the new slots
   */
  public Slots withEpochFolded(long epoch, long foldedAt) {
    return new Slots(
        usages,
        allocationVersion + 1,
        clearedEpoch,
        quarantineUntil,
        epochFoldedAt.plus(epoch, foldedAt),
        lastLoanId);
  }

  /**
   * Returns a copy with the next id of a loan.
   *
   * @return the new slots; {@link #lastLoanId} is the id
   */
  public Slots withNextLoanId() {
    return new Slots(
        usages, allocationVersion, clearedEpoch, quarantineUntil, epochFoldedAt, lastLoanId + 1);
  }

  /**
   * Returns a copy without the times of epochs that are no longer retained.
   *
   * @param epochs the retained epochs
   * @return the new slots
   */
  public Slots retainEpochs(List<Epoch> epochs) {
    HashPMap<Long, Long> retained = HashTreePMap.empty();
    for (Epoch epoch : epochs) {
      Long foldedAt = epochFoldedAt.get(epoch.number());
      retained = foldedAt == null ? retained : retained.plus(epoch.number(), foldedAt);
    }
    return new Slots(
        usages, allocationVersion, clearedEpoch, quarantineUntil, retained, lastLoanId);
  }
}
