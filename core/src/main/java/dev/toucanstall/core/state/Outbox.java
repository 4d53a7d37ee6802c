package dev.toucanstall.core.state;

import dev.toucanstall.core.model.Producer;
import dev.toucanstall.core.record.RecordBody;
import org.pcollections.HashPMap;
import org.pcollections.HashTreePMap;
import org.pcollections.TreePMap;

/**
 * Records that this entry instance has appended and not yet read back.
 *
 * @param pending the records by the instance's own numbers
 * @param lastSequence the last of those numbers
 * @param lastKey the last number used as a key of {@code pending}
 * @param changeOutcomes what became of operators' recent changes, by the id of the change
 */
public record Outbox(
    TreePMap<Long, Pending> pending,
    long lastSequence,
    long lastKey,
    HashPMap<String, ChangeOutcome> changeOutcomes) {

  /** Most outcomes kept. */
  public static final int MAX_OUTCOMES = 1_000;

  /** Nothing appended. */
  public static final Outbox EMPTY = new Outbox(TreePMap.empty(), 0, 0, HashTreePMap.empty());

  /**
   * What became of a change.
   *
   * @param offset the offset of its record
   * @param refusal why it was refused, empty if it was accepted
   */
  public record ChangeOutcome(long offset, String refusal) {}

  /**
   * A record that was not read back yet.
   *
   * @param producer who writes it
   * @param sequence the producer's number of it
   * @param body what it says
   * @param sentAt when it was last appended
   * @param handle the operator's question that waits for it, 0 if none
   * @param expiresAt when it is no longer appended again
   */
  public record Pending(
      Producer producer, long sequence, RecordBody body, long sentAt, long handle, long expiresAt) {

    /**
     * Returns the record appended again.
     *
     * @param at when
     * @return the new value
     */
    public Pending resentAt(long at) {
      return new Pending(producer, sequence, body, at, handle, expiresAt);
    }
  }

  /**
   * Returns the outbox with a record of this instance's own added.
   *
   * @param producer this instance
   * @param body what it says
   * @param at when
   * @param giveUpAt when it is no longer appended again
   * @return the new outbox; {@link #lastSequence} is the record's number
   */
  public Outbox plusOwnRecord(Producer producer, RecordBody body, long at, long giveUpAt) {
    long sequence = lastSequence + 1;
    Pending added = new Pending(producer, sequence, body, at, 0, giveUpAt);
    return new Outbox(pending.plus(lastKey + 1, added), sequence, lastKey + 1, changeOutcomes);
  }

  /**
   * Returns the outbox with an operator's record added.
   *
   * @param added the record
   * @return the new outbox
   */
  public Outbox plusOperatorRecord(Pending added) {
    return new Outbox(pending.plus(lastKey + 1, added), lastSequence, lastKey + 1, changeOutcomes);
  }

  /**
   * Returns the outbox with other pending records.
   *
   * @param next the records
   * @return the new outbox
   */
  public Outbox withPending(TreePMap<Long, Pending> next) {
    return new Outbox(next, lastSequence, lastKey, changeOutcomes);
  }

  /**
   * Returns the outbox with a change's outcome noted.
   *
   * @param change the id of the change
   * @param outcome what became of it
   * @return the new outbox
   */
  public Outbox withOutcome(String change, ChangeOutcome outcome) {
    HashPMap<String, ChangeOutcome> next = changeOutcomes.plus(change, outcome);
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
   * Tells whether a record equal to a body waits to be read back.
   *
   * @param body the body
   * @return true if so
   */
  public boolean contains(RecordBody body) {
    return pending.values().stream().anyMatch(waiting -> waiting.body().equals(body));
  }
}
