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
 * Appends records and waits until they are read back. An append's own answer is never trusted: a
 * record is appended again with the same number until it is read back or given up.
 */
final class OutboxRules {

  /** How long an operator waits for a change to be read back. */
  static final long OPERATOR_WAIT_NANOS = Duration.ofSeconds(10).toNanos();

  private static final long OWN_GIVE_UP_NANOS = Duration.ofSeconds(20).toNanos();

  private OutboxRules() {}

  /** Appends a record of this instance's own, unless an equal one waits to be read back. */
  static Transition append(State state, RecordBody body, long now) {
    if (state.outbox().contains(body)) {
      return Transition.of(state);
    }
    Producer producer = state.localMember().producer();
    Outbox outbox = state.outbox().plusOwnRecord(producer, body, now, now + OWN_GIVE_UP_NANOS);
    return Transition.of(
        state.withOutbox(outbox), new Effect.Append(producer, outbox.lastSequence(), body));
  }

  /** Appends an operator's record under the id of the change. */
  static Transition appendFor(State state, long handle, String change, RecordBody body, long now) {
    Producer producer = new Producer(change, 1);
    Pending pending = new Pending(producer, 1, body, now, handle, now + OPERATOR_WAIT_NANOS);
    return Transition.of(
        state.withOutbox(state.outbox().plusOperatorRecord(pending)),
        new Effect.Append(producer, 1, body));
  }

  /** Takes a record that was read back out of the outbox and answers who waits for it. */
  static Transition readBack(State state, LogEntry entry, RecordOutcome outcome) {
    Transition step = Transition.of(state);
    if (isOperators(entry.body()) && !(outcome instanceof RecordOutcome.Repeated)) {
      ChangeOutcome noted = new ChangeOutcome(entry.offset(), outcome.refusal().orElse(""));
      step =
          Transition.of(
              state.withOutbox(state.outbox().withOutcome(entry.producer().name(), noted)));
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

  private static Transition take(State state, long local, Pending pending) {
    State next =
        state.withOutbox(state.outbox().withPending(state.outbox().pending().minus(local)));
    if (pending.handle() == 0) {
      return Transition.of(next);
    }
    return Transition.of(
        next,
        new Effect.AnswerOperator(pending.handle(), answerOf(state, pending.producer().name())));
  }

  /** Returns what became of an operator's change, as far as it is known. */
  static OperatorAnswer answerOf(State state, String change) {
    ChangeOutcome known = state.outbox().changeOutcomes().get(change);
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

  /** Appends again what was not read back in time and gives up what is too old. */
  static Transition resend(State state, long now) {
    if (state.outbox().pending().isEmpty()) {
      return Transition.of(state);
    }
    long resend = state.localMember().timing().resendDelay();
    Transition step = Transition.of(state);
    for (Map.Entry<Long, Pending> waiting : state.outbox().pending().entrySet()) {
      Pending pending = waiting.getValue();
      if (now >= pending.expiresAt()) {
        step = step.then(s -> take(s, waiting.getKey(), pending));
      } else if (now - pending.sentAt() >= resend) {
        step = step.then(s -> sendAgain(s, waiting.getKey(), pending, now));
      }
    }
    return step;
  }

  private static Transition sendAgain(State state, long local, Pending pending, long now) {
    TreePMap<Long, Pending> next = state.outbox().pending().plus(local, pending.resentAt(now));
    return Transition.of(
        state.withOutbox(state.outbox().withPending(next)),
        new Effect.Append(pending.producer(), pending.sequence(), pending.body()));
  }
}
