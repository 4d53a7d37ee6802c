package dev.toucanstall.core.reduce;

import dev.toucanstall.core.effect.Effect;
import dev.toucanstall.core.effect.OperatorAnswer;
import dev.toucanstall.core.fold.RecordOutcome;
import dev.toucanstall.core.model.Producer;
import dev.toucanstall.core.record.LogEntry;
import dev.toucanstall.core.record.RecordBody;
import dev.toucanstall.core.state.Outbox;
import dev.toucanstall.core.state.Outbox.ChangeOutcome;
import dev.toucanstall.core.state.Outbox.Pending;
import dev.toucanstall.core.state.State;
import java.time.Duration;
import java.util.Map;
import org.pcollections.TreePMap;

/**
 * Appends records to the log and tracks them until they are read back. Pure.
 *
 * <p>The reply to an append is never trusted. A record is appended again under the same sequence
 * number until it is read back or times out; the fold ignores repeats.
 */
final class OutboxRules {

  /** Time for which an operator waits until a change is read back. */
  static final long OPERATOR_TIMEOUT_NANOS = Duration.ofSeconds(10).toNanos();

  /** Time after which a record of this entry instance is no longer appended again. */
  private static final long OWN_RECORD_TIMEOUT_NANOS = Duration.ofSeconds(20).toNanos();

  private OutboxRules() {}

  /** Appends a record of this entry instance, unless an equal one has not been read back yet. */
  static Transition append(State state, RecordBody body, long now) {
    if (state.outbox().contains(body)) {
      return Transition.of(state);
    }
    Producer producer = state.localMember().producer();
    Outbox outbox =
        state.outbox().plusOwnRecord(producer, body, now, now + OWN_RECORD_TIMEOUT_NANOS);
    return Transition.of(
        state.withOutbox(outbox), new Effect.Append(producer, outbox.lastSequence(), body));
  }

  /**
   * Appends a record for an operator, with the id of the change as its producer. The same change
   * submitted twice, also through another entry instance, thereby takes effect once.
   *
   * @param handle identifies the operator's request for its answer
   * @param changeId id that the operator gave the change
   */
  static Transition appendForOperator(
      State state, long handle, String changeId, RecordBody body, long now) {
    Producer producer = new Producer(changeId, 1);
    Pending pending = new Pending(producer, 1, body, now, handle, now + OPERATOR_TIMEOUT_NANOS);
    return Transition.of(
        state.withOutbox(state.outbox().plusOperatorRecord(pending)),
        new Effect.Append(producer, 1, body));
  }

  /**
   * Handles a record that was read back: records the outcome of an operator's change, removes the
   * record from the outbox and answers the operator that waits for it.
   */
  static Transition handleReadBack(State state, LogEntry entry, RecordOutcome outcome) {
    Transition transition = Transition.of(state);
    if (isOperatorRecord(entry.body()) && !(outcome instanceof RecordOutcome.Repeated)) {
      ChangeOutcome changeOutcome = new ChangeOutcome(entry.offset(), outcome.refusal().orElse(""));
      transition =
          Transition.of(
              state.withOutbox(state.outbox().withOutcome(entry.producer().name(), changeOutcome)));
    }
    for (Map.Entry<Long, Pending> pendingEntry : state.outbox().pending().entrySet()) {
      Pending pending = pendingEntry.getValue();
      boolean matches =
          pending.producer().equals(entry.producer()) && pending.sequence() == entry.sequence();
      if (matches) {
        transition = transition.then(s -> complete(s, pendingEntry.getKey(), pending));
      }
    }
    return transition;
  }

  private static Transition complete(State state, long key, Pending pending) {
    State next = state.withOutbox(state.outbox().withPending(state.outbox().pending().minus(key)));
    if (pending.handle() == 0) {
      return Transition.of(next);
    }
    return Transition.of(
        next,
        new Effect.AnswerOperator(
            pending.handle(), answerForChange(state, pending.producer().name())));
  }

  /**
   * Returns the answer with the outcome of an operator's change, uncertain if it is unknown here.
   */
  static OperatorAnswer answerForChange(State state, String changeId) {
    ChangeOutcome changeOutcome = state.outbox().changeOutcomes().get(changeId);
    if (changeOutcome == null) {
      return new OperatorAnswer.Uncertain(changeId);
    }
    return changeOutcome.refusal().isEmpty()
        ? new OperatorAnswer.Accepted(changeOutcome.offset())
        : new OperatorAnswer.Rejected(changeOutcome.refusal());
  }

  private static boolean isOperatorRecord(RecordBody body) {
    return body instanceof RecordBody.SettingsChanged || body instanceof RecordBody.MemberRemoved;
  }

  /** Appends records again that were not read back in time, and drops those that timed out. */
  static Transition resendDue(State state, long now) {
    if (state.outbox().pending().isEmpty()) {
      return Transition.of(state);
    }
    long resendDelay = state.localMember().timing().resendDelay();
    Transition transition = Transition.of(state);
    for (Map.Entry<Long, Pending> pendingEntry : state.outbox().pending().entrySet()) {
      Pending pending = pendingEntry.getValue();
      if (now >= pending.expiresAt()) {
        transition = transition.then(s -> complete(s, pendingEntry.getKey(), pending));
      } else if (now - pending.sentAt() >= resendDelay) {
        transition = transition.then(s -> resendRecord(s, pendingEntry.getKey(), pending, now));
      }
    }
    return transition;
  }

  private static Transition resendRecord(State state, long key, Pending pending, long now) {
    TreePMap<Long, Pending> next = state.outbox().pending().plus(key, pending.resentAt(now));
    return Transition.of(
        state.withOutbox(state.outbox().withPending(next)),
        new Effect.Append(pending.producer(), pending.sequence(), pending.body()));
  }
}
