package dev.toucanstall.core.state;

import dev.toucanstall.core.record.LogEntry;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * Position of an entry instance in the log, beyond the state that it has folded. Immutable. Times
 * are in nanoseconds of the monotonic clock.
 *
 * @param confirmedAt time at which the read was sent that last confirmed that all records up to the
 *     end of the log are folded, 0 if none has
 * @param everConfirmed whether any read has confirmed that all records are folded
 * @param firstOffset oldest offset that the log still had at the last read
 * @param stalledKind kind of the required record that this version does not know and at which
 *     folding has stopped, empty if folding goes on
 * @param tail last folded records, for peers that lag behind
 * @param snapshotDueAt time at which the next snapshot is due
 */
public record LogView(
    long confirmedAt,
    boolean everConfirmed,
    long firstOffset,
    String stalledKind,
    PVector<LogEntry> tail,
    long snapshotDueAt) {

  /** Maximum number of records that are retained for peers. */
  public static final int MAX_TAIL_ENTRIES = 64;

  /** View before the first read of the log. */
  public static final LogView EMPTY = new LogView(0, false, 0, "", TreePVector.empty(), 0);

  /**
   * Returns a copy after a read that confirmed the end of the log.
   *
   * @param requestedAt time at which the read was sent
   * @return the new view
   */
  public LogView withConfirmation(long requestedAt) {
    long latest = everConfirmed ? Math.max(confirmedAt, requestedAt) : requestedAt;
    return new LogView(latest, true, firstOffset, stalledKind, tail, snapshotDueAt);
  }

  /**
   * Returns a copy with the oldest offset of the log.
   *
   * @param offset the offset
   * @return the new view
   */
  public LogView withFirstOffset(long offset) {
    return new LogView(confirmedAt, everConfirmed, offset, stalledKind, tail, snapshotDueAt);
  }

  /**
   * Returns a copy for which folding has stopped at a record.
   *
   * @param kind kind of the record
   * @return the new view
   */
  public LogView withStalledKind(String kind) {
    return new LogView(confirmedAt, everConfirmed, firstOffset, kind, tail, snapshotDueAt);
  }

  /**
   * Returns a copy with a folded record added to the tail; drops the oldest if the tail is full.
   *
   * @param entry the record
   * @return the new view
   */
  public LogView withTailEntry(LogEntry entry) {
    PVector<LogEntry> retained = tail.size() < MAX_TAIL_ENTRIES ? tail : tail.minus(0);
    return new LogView(
        confirmedAt, everConfirmed, firstOffset, stalledKind, retained.plus(entry), snapshotDueAt);
  }

  /**
   * Returns a copy with the time of the next snapshot.
   *
   * @param dueAt the time
   * @return the new view
   */
  public LogView withSnapshotDueAt(long dueAt) {
    return new LogView(confirmedAt, everConfirmed, firstOffset, stalledKind, tail, dueAt);
  }

  /**
   * Tells whether folding has stopped at a required record that this version does not know.
   *
   * @return true until a newer version of the program runs
   */
  public boolean isStalled() {
    return !stalledKind.isEmpty();
  }
}
