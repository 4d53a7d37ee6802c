package dev.toucanstall.core.state;

import dev.toucanstall.core.record.LogEntry;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * What an entry instance knows of the log beyond what it has folded.
 *
 * @param confirmedAt when the read was sent that last confirmed the end of the log
 * @param everConfirmed whether one ever did
 * @param first the oldest offset that the log has, as last heard
 * @param stalledOn the kind of a required record that this version does not know, empty if none
 * @param tail the last records, for peers that lag
 * @param snapshotDueAt when the next snapshot is due
 */
public record LogView(
    long confirmedAt,
    boolean everConfirmed,
    long first,
    String stalledOn,
    PVector<LogEntry> tail,
    long snapshotDueAt) {

  /** Most records kept for peers. */
  public static final int KEPT_TAIL = 64;

  /** Nothing known. */
  public static final LogView EMPTY = new LogView(0, false, 0, "", TreePVector.empty(), 0);

  /**
   * Returns the view after a confirmation of the log's end.
   *
   * @param askedAt when the read was sent
   * @return the new view
   */
  public LogView confirmed(long askedAt) {
    long latest = everConfirmed ? Math.max(confirmedAt, askedAt) : askedAt;
    return new LogView(latest, true, first, stalledOn, tail, snapshotDueAt);
  }

  /**
   * Returns the view with the oldest offset of the log.
   *
   * @param offset the offset
   * @return the new view
   */
  public LogView withFirst(long offset) {
    return new LogView(confirmedAt, everConfirmed, offset, stalledOn, tail, snapshotDueAt);
  }

  /**
   * Returns the view stalled on a record.
   *
   * @param kind the record's kind
   * @return the new view
   */
  public LogView stalled(String kind) {
    return new LogView(confirmedAt, everConfirmed, first, kind, tail, snapshotDueAt);
  }

  /**
   * Returns the view with a folded record kept for peers.
   *
   * @param entry the record
   * @return the new view
   */
  public LogView withTail(LogEntry entry) {
    PVector<LogEntry> kept = tail.size() < KEPT_TAIL ? tail : tail.minus(0);
    return new LogView(
        confirmedAt, everConfirmed, first, stalledOn, kept.plus(entry), snapshotDueAt);
  }

  /**
   * Returns the view with the time of the next snapshot.
   *
   * @param at the time
   * @return the new view
   */
  public LogView withSnapshotDueAt(long at) {
    return new LogView(confirmedAt, everConfirmed, first, stalledOn, tail, at);
  }

  /**
   * Tells whether folding stopped at a record that this version does not know.
   *
   * @return true if so
   */
  public boolean isStalled() {
    return !stalledOn.isEmpty();
  }
}
