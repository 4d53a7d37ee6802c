package dev.toucanstall.core.state;

import dev.toucanstall.core.model.Producer;
import dev.toucanstall.core.record.RecordBody;
import org.pcollections.HashPMap;
import org.pcollections.HashTreePMap;
import org.pcollections.TreePMap;

/**
 * Records that this entry instance has appended to the log and not yet read back. Immutable. Times
 * are in nanoseconds of the monotonic clock.
 *
 * @param pending records in the order in which they were added, by a local key
 * @param lastSequence last sequence number of this entry instance as a producer, 0 if none
 * @param lastKey last key of {@code pending} in use so far, 0 if none
 * @param changeOutcomes outcomes of operators' recent changes, by the id of the change
 */
public record Outbox(
    TreePMap<Long, Pending> pending,
    long lastSequence,
    long lastKey,
    HashPMap<String, ChangeOutcome> changeOutcomes) {

  /** Maximum number of retained outcomes; beyond it the one of the oldest record is dropped. */
  public static final int MAX_OUTCOMES = 1_000;

  /** Outbox before the first append. */
  public static final Outbox EMPTY = new Outbox(TreePMap.empty(), 0, 0, HashTreePMap.empty());

  /**
   * Outcome of an operator's change.
   *
   * @param offset offset of the record of the change
   * @param refusal reason why the change was refused, empty if it was accepted
   */
  public record ChangeOutcome(long offset, String refusal) {}

  /**
   * A record that has not been read back yet.
   *
   * @param producer writer of the record
   * @param sequence sequence number of the record, unique for the producer
   * @param body content of the record
   * @param sentAt time of the last append
   * @param handle handle of the operator's request that waits for the record, 0 if none
   * @param expiresAt time from which the record is no longer appended again
   */
  public record Pending(
      Producer producer, long sequence, RecordBody body, long sentAt, long handle, long expiresAt) {

    /**
     * Returns a copy with the time of another append.
     *
     * @param now time of the append
     * @return the new value
     */
    public Pending resentAt(long now) {
      return new Pending(producer, sequence, body, now, handle, expiresAt);
    }
  }

  /**
   * Returns a copy with a record added that this entry instance writes on its own behalf.
   *
   * @param producer this entry instance
   * @param body content of the record
   * @param now time of the append
   * @param expiresAt time from which the record is no longer appended again
   * @return the new outbox; {@link #lastSequence} is the sequence number of the record
   */
  public Outbox plusOwnRecord(Producer producer, RecordBody body, long now, long expiresAt) {
    long sequence = lastSequence + 1;
    Pending added = new Pending(producer, sequence, body, now, 0, expiresAt);
    return new Outbox(pending.plus(lastKey + 1, added), sequence, lastKey + 1, changeOutcomes);
  }

  /**
   * Returns a copy with a record added that an operator has requested.
   *
   * @param added the record, with the operator's change as its producer
   * @return the new outbox
   */
  public Outbox plusOperatorRecord(Pending added) {
    return new Outbox(pending.plus(lastKey + 1, added), lastSequence, lastKey + 1, changeOutcomes);
  }

  /**
   * Returns a copy with other pending records.
   *
   * @param next the records by local key
   * @return the new outbox
   */
  public Outbox withPending(TreePMap<Long, Pending> next) {
    return new Outbox(next, lastSequence, lastKey, changeOutcomes);
  }

  /**
   * Returns a copy with the outcome of an operator's change.
   *
   * @param changeId id of the change
   * @param outcome outcome of the change
   * @return the new outbox
   */
  public Outbox withOutcome(String changeId, ChangeOutcome outcome) {
    HashPMap<String, ChangeOutcome> next = changeOutcomes.plus(changeId, outcome);
    if (next.size() > MAX_OUTCOMES) {
      String oldest =
          next.entrySet().stream()
              .min((a, b) -> Long.compare(a.getValue().offset(), b.getValue().offset()))
              .orElseThrow()
              .getKey();
      next = next.minus(oldest);
    }
    return new Outbox(pending, lastSequence, lastKey, next);
  }

  /**
   * Tells whether a record with a given content is pending.
   *
   * @param body content to look for
   * @return true if a pending record has an equal body
   */
  public boolean contains(RecordBody body) {
    return pending.values().stream().anyMatch(waiting -> waiting.body().equals(body));
  }
}
