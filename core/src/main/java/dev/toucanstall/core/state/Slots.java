package dev.toucanstall.core.state;

import dev.toucanstall.core.fold.Epoch;
import dev.toucanstall.core.peer.SlotKey;
import java.util.List;
import java.util.Objects;
import org.pcollections.HashPMap;
import org.pcollections.HashTreePMap;

/**
 * The slots that this entry instance uses.
 *
 * @param usages the use of each kind of slots
 * @param allocationVersion the version of the split; a home share of another version is worked out
 *     anew
 * @param clearedEpoch the newest epoch before which no member holds anything any more
 * @param quarantineUntil before when an earlier start of this instance may still hold slots
 * @param epochFoldedAt when this instance folded each kept epoch
 * @param lastLoanId the number of the last question for a loan or claim
 */
public record Slots(
    HashPMap<SlotKey, SlotUsage> usages,
    long allocationVersion,
    long clearedEpoch,
    long quarantineUntil,
    HashPMap<Long, Long> epochFoldedAt,
    long lastLoanId) {

  /** No slots. */
  public static final Slots EMPTY =
      new Slots(HashTreePMap.empty(), 0, -1, 0, HashTreePMap.empty(), 0);

  /**
   * Returns the use of one kind of slots.
   *
   * @param key the kind
   * @return its use
   */
  public SlotUsage get(SlotKey key) {
    return Objects.requireNonNullElse(usages.get(key), SlotUsage.EMPTY);
  }

  /**
   * Returns the slots with one use replaced.
   *
   * @param key the kind
   * @param use its use
   * @return the new slots
   */
  public Slots with(SlotKey key, SlotUsage use) {
    return withUsages(usages.plus(key, use));
  }

  /**
   * Returns the slots with other uses.
   *
   * @param next the uses
   * @return the new slots
   */
  public Slots withUsages(HashPMap<SlotKey, SlotUsage> next) {
    return new Slots(
        next, allocationVersion, clearedEpoch, quarantineUntil, epochFoldedAt, lastLoanId);
  }

  /**
   * Returns the slots with a new version of the split.
   *
   * @return the new slots
   */
  public Slots withNextAllocationVersion() {
    return new Slots(
        usages, allocationVersion + 1, clearedEpoch, quarantineUntil, epochFoldedAt, lastLoanId);
  }

  /**
   * Returns the slots with a newer cleared epoch.
   *
   * @param epoch the epoch
   * @return the new slots
   */
  public Slots withClearedEpoch(long epoch) {
    return new Slots(
        usages, allocationVersion + 1, epoch, quarantineUntil, epochFoldedAt, lastLoanId);
  }

  /**
   * Returns the slots with the end of the quarantine.
   *
   * @param until its end
   * @return the new slots
   */
  public Slots withQuarantineUntil(long until) {
    return new Slots(usages, allocationVersion + 1, clearedEpoch, until, epochFoldedAt, lastLoanId);
  }

  /**
   * Returns the slots with the time at which an epoch was folded.
   *
   * @param epoch the epoch
   * @param at the time
   * @return the new slots
   */
  public Slots withEpochFolded(long epoch, long at) {
    return new Slots(
        usages,
        allocationVersion + 1,
        clearedEpoch,
        quarantineUntil,
        epochFoldedAt.plus(epoch, at),
        lastLoanId);
  }

  /**
   * Returns the slots with the next number for a question.
   *
   * @return the new slots; {@link #lastLoanId} is the number
   */
  public Slots withNextLoanId() {
    return new Slots(
        usages, allocationVersion, clearedEpoch, quarantineUntil, epochFoldedAt, lastLoanId + 1);
  }

  /**
   * Returns the slots without the times of epochs that are no longer kept.
   *
   * @param epochs the kept epochs
   * @return the new slots
   */
  public Slots retainEpochs(List<Epoch> epochs) {
    HashPMap<Long, Long> kept = HashTreePMap.empty();
    for (Epoch epoch : epochs) {
      Long at = epochFoldedAt.get(epoch.number());
      kept = at == null ? kept : kept.plus(epoch.number(), at);
    }
    return new Slots(usages, allocationVersion, clearedEpoch, quarantineUntil, kept, lastLoanId);
  }
}
