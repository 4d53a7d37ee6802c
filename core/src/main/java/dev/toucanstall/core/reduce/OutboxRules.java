package dev.toucanstall.core.reduce;

import dev.toucanstall.core.effect.Effect;
import dev.toucanstall.core.effect.OperatorAnswer;
import dev.toucanstall.core.fold.Outcome;
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
  static final long OPERATOR_WAIT_NANOS = Duration.ofSeconds(10).toNanos();

  /** Time after which a record of this entry instance is no longer appended again. */
  private static final long OWN_GIVE_UP_NANOS = Duration.ofSeconds(20).toNanos();

  private OutboxRules() {}

  /** Appends a record of this entry instance, unless an equal one has not been read back yet. */
  static Step append(State state, RecordBody body, long now) {
    if (state.outbox().holds(body)) {
      return Step.of(state);
    }
    Producer producer = state.self().producer();
    Outbox outbox = state.outbox().plusOwn(producer, body, now, now + OWN_GIVE_UP_NANOS);
    return Step.of(
        state.withOutbox(outbox), new Effect.Append(producer, outbox.lastSequence(), body));
  }

  /**
   * Appends a record for an operator, with the id of the change as its producer. The same change
   * submitted twice, also through another entry instance, thereby takes effect once.
   *
   * @param handle identifies the operator's request for its answer
   * @param change the operator's id of the change
   */
  static Step appendFor(State state, long handle, String change, RecordBody body, long now) {
    Producer producer = new Producer(change, 1);
    Pending pending = new Pending(producer, 1, body, now, handle, now + OPERATOR_WAIT_NANOS);
    return Step.of(
        state.withOutbox(state.outbox().plusOperators(pending)),
        new Effect.Append(producer, 1, body));
  }

  /**
   * Handles a record that was read back: records the outcome of an operator's change, removes the
   * record from the outbox and answers the operator that waits for it.
   */
  static Step readBack(State state, LogEntry entry, Outcome outcome) {
    Step step = Step.of(state);
    if (isOperators(entry.body()) && !(outcome instanceof Outcome.Repeated)) {
      ChangeOutcome noted = new ChangeOutcome(entry.offset(), outcome.refusal().orElse(""));
      step = Step.of(state.withOutbox(state.outbox().withOutcome(entry.producer().name(), noted)));
    }
    for (Map.Entry<Long, Pending> waiting : state.outbox().pending().entrySet()) {
      Pending pending = waiting.getValue();
      boolean same =
          pending.producer().equals(entry.producer()) && pending.sequence() == entry.sequence();
      if (same) {
        step = step.then(s -> take(s, waiting.getKey(), pending));
      }
    }
    return step;
  }

  /** Removes a pending record and answers the operator that waits for it, if any. */
  private static Step take(State state, long local, Pending pending) {
    State next =
        state.withOutbox(state.outbox().withPending(state.outbox().pending().minus(local)));
    if (pending.handle() == 0) {
      return Step.of(next);
    }
    return Step.of(
        next,
        new Effect.AnswerOperator(pending.handle(), answerOf(state, pending.producer().name())));
  }

  /** Returns the outcome of an operator's change as an answer, uncertain if not known here. */
  static OperatorAnswer answerOf(State state, String change) {
    ChangeOutcome known = state.outbox().outcomes().get(change);
    if (known == null) {
      return new OperatorAnswer.Uncertain(change);
    }
    return known.refusal().isEmpty()
        ? new OperatorAnswer.Accepted(known.offset())
        : new OperatorAnswer.Rejected(known.refusal());
  }

  private static boolean isOperators(RecordBody body) {
    return body instanceof RecordBody.SettingsChanged || body instanceof RecordBody.MemberRemoved;
  }

  /** Appends records again that were not read back in time, and drops those that timed out. */
  static Step resend(State state, long now) {
    if (state.outbox().pending().isEmpty()) {
      return Step.of(state);
    }
    long resend = state.self().timing().resend();
    Step step = Step.of(state);
    for (Map.Entry<Long, Pending> waiting : state.outbox().pending().entrySet()) {
      Pending pending = waiting.getValue();
      if (now >= pending.giveUpAt()) {
        step = step.then(s -> take(s, waiting.getKey(), pending));
      } else if (now - pending.sentAt() >= resend) {
        step = step.then(s -> sendAgain(s, waiting.getKey(), pending, now));
      }
    }
    return step;
  }

  private static Step sendAgain(State state, long local, Pending pending, long now) {
    TreePMap<Long, Pending> next = state.outbox().pending().plus(local, pending.sentAgain(now));
    return Step.of(
        state.withOutbox(state.outbox().withPending(next)),
        new Effect.Append(pending.producer(), pending.sequence(), pending.body()));
  }
}
