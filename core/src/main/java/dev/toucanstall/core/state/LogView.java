package dev.toucanstall.core.state;

import dev.toucanstall.core.record.LogEntry;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * What an entry instance knows of the log beyond what it has folded.
 *
 * @param confirmedAt when the read was sent that last confirmed the end of the log
 * @param everConfirmed whether one ever did
 * @param firstOffset the oldest offset that the log has, as last heard
 * @param stalledKind the kind of a required record that this version does not know, empty if none
 * @param tail the last records, for peers that lag
 * @param snapshotDueAt when the next snapshot is due
 */
public record LogView(
    long confirmedAt,
    boolean everConfirmed,
    long firstOffset,
    String stalledKind,
    PVector<LogEntry> tail,
    long snapshotDueAt) {

  /** Most records kept for peers. */
  public static final int MAX_TAIL_ENTRIES = 64;

  /** Nothing known. */
  public static final LogView EMPTY = new LogView(0, false, 0, "", TreePVector.empty(), 0);

  /**
   * Returns the view after a confirmation of the log's end.
   *
   * @param askedAt when the read was sent
   * @return the new view
   */
  public LogView withConfirmation(long askedAt) {
    long latest = everConfirmed ? Math.max(confirmedAt, askedAt) : askedAt;
    return new LogView(latest, true, firstOffset, stalledKind, tail, snapshotDueAt);
  }

  /**
   * Returns the view with the oldest offset of the log.
   *
   * @param offset the offset
   * @return the new view
   */
  public LogView withFirstOffset(long offset) {
    return new LogView(confirmedAt, everConfirmed, offset, stalledKind, tail, snapshotDueAt);
  }

  /**
   * Returns the view stalled on a record.
   *
   * @param kind the record's kind
   * @return the new view
   */
  public LogView withStalledKind(String kind) {
    return new LogView(confirmedAt, everConfirmed, firstOffset, kind, tail, snapshotDueAt);
  }

  /**
   * Returns the view with a folded record kept for peers.
   *
   * @param entry the record
   * @return the new view
   */
  public LogView withTailEntry(LogEntry entry) {
    PVector<LogEntry> kept = tail.size() < MAX_TAIL_ENTRIES ? tail : tail.minus(0);
    return new LogView(
        confirmedAt, everConfirmed, firstOffset, stalledKind, kept.plus(entry), snapshotDueAt);
  }

  /**
   * Returns the view with the time of the next snapshot.
   *
   * @param at the time
   * @return the new view
   */
  public LogView withSnapshotDueAt(long at) {
    return new LogView(confirmedAt, everConfirmed, firstOffset, stalledKind, tail, at);
  }

  /**
   * Tells whether folding stopped at a record that this version does not know.
   *
   * @return true if so
   */
  public boolean isStalled() {
    return !stalledKind.isEmpty();
  }
}
