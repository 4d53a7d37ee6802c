package dev.toucanstall.core.reduce;

import dev.toucanstall.core.effect.Effect;
import dev.toucanstall.core.event.Event;
import dev.toucanstall.core.fold.AppliedState;
import dev.toucanstall.core.fold.Fold;
import dev.toucanstall.core.fold.FoldResult;
import dev.toucanstall.core.fold.RecordOutcome;
import dev.toucanstall.core.record.LogEntry;
import dev.toucanstall.core.record.RecordBody;
import dev.toucanstall.core.state.LogView;
import dev.toucanstall.core.state.State;
import java.util.List;

/** Reducer of reads of the replicated log. Pure. */
final class LogReducer {

  private LogReducer() {}

  static Transition reduce(State state, Event.OfLog event) {
    return switch (event) {
      case Event.LogRead read -> handleRead(state, read);
      case Event.SnapshotLoaded loaded -> loadSnapshot(state, loaded);
    };
  }

  /**
   * Applies the records of a read. A log that ends before the applied offset raises an alarm; a log
   * that no longer has the next record raises an alarm and is loaded again from its newest
   * snapshot.
   */
  private static Transition handleRead(State state, Event.LogRead read) {
    long nextOffset = state.appliedState().offset() + 1;
    if (read.endOffset() < nextOffset) {
      return Transition.of(
          state,
          new Effect.Alarm(
              "log-shorter",
              "log ends at %d but %d was folded".formatted(read.endOffset(), nextOffset - 1)));
    }
    boolean gap =
        read.entries().isEmpty()
            ? read.firstOffset() > nextOffset
            : read.entries().get(0).offset() > nextOffset;
    if (gap) {
      return Transition.of(
          state,
          new Effect.Alarm(
              "log-gap",
              "log begins at %d but %d is the next to fold"
                  .formatted(read.firstOffset(), nextOffset)),
          new Effect.ReloadLog());
    }
    return fold(state, read.entries(), read.occurredAt())
        .mapState(s -> s.withLog(s.log().withFirstOffset(read.firstOffset())))
        .then(s -> confirmContact(s, read));
  }

  /**
   * Applies the records that follow the applied state, in order, and skips those already applied.
   *
   * @param entries consecutive records, from the log or from a peer; may be empty
   */
  static Transition fold(State state, List<LogEntry> entries, long now) {
    if (entries.isEmpty()) {
      return Transition.of(state);
    }
    AppliedState before = state.appliedState();
    Transition transition = Transition.of(state);
    for (LogEntry entry : entries) {
      transition = transition.then(s -> foldOne(s, entry));
    }
    boolean advanced = transition.state().appliedState().offset() != before.offset();
    return advanced ? transition.then(s -> FoldReactions.react(s, before, now)) : transition;
  }

  /**
   * Applies the record at the next offset and ignores any other.
   *
   * <p>A required record of an unknown kind stalls the log: applying later records without it would
   * make this entry instance diverge from the others.
   */
  private static Transition foldOne(State state, LogEntry entry) {
    boolean isNext = entry.offset() == state.appliedState().offset() + 1;
    if (!isNext || state.log().isStalled()) {
      return Transition.of(state);
    }
    if (entry.body() instanceof RecordBody.UnknownRecord unknown && unknown.required()) {
      return Transition.of(
          state.withLog(state.log().withStalledKind(unknown.kind())),
          new Effect.Alarm(
              "log-stalled",
              "record %d of kind \"%s\" needs a newer version"
                  .formatted(entry.offset(), unknown.kind())));
    }
    FoldResult result = Fold.apply(state.appliedState(), entry);
    State advanced =
        state.withAppliedState(result.state()).withLog(state.log().withTailEntry(entry));
    return OutboxRules.handleReadBack(advanced, entry, result.outcome())
        .then(s -> logRefusal(s, entry, result.outcome()));
  }

  private static Transition logRefusal(State state, LogEntry entry, RecordOutcome outcome) {
    return outcome
        .refusal()
        .map(
            reason ->
                Transition.of(
                    state,
                    new Effect.LogDecision(
                        "record/" + entry.offset(), "fold", "refused: " + reason)))
        .orElseGet(() -> Transition.of(state));
  }

  /**
   * Confirms contact with the log as of the time at which the read was sent, if the read reached
   * the end.
   */
  private static Transition confirmContact(State state, Event.LogRead read) {
    boolean atEnd = state.appliedState().offset() + 1 >= read.endOffset();
    return atEnd && !state.log().isStalled()
        ? Transition.of(state.withLog(state.log().withConfirmation(read.requestedAt())))
        : Transition.of(state);
  }

  /**
   * Replaces the applied state by that of a snapshot, unless the snapshot is older, and continues
   * to read after it.
   */
  private static Transition loadSnapshot(State state, Event.SnapshotLoaded loaded) {
    if (loaded.appliedState().offset() <= state.appliedState().offset()) {
      return Transition.of(state, new Effect.ReadLogFrom(state.appliedState().offset() + 1));
    }
    AppliedState before = state.appliedState();
    State next =
        state
            .withAppliedState(loaded.appliedState())
            .withLog(
                new LogView(
                    state.log().confirmedAt(),
                    state.log().everConfirmed(),
                    state.log().firstOffset(),
                    state.log().stalledKind(),
                    LogView.EMPTY.tail(),
                    state.log().snapshotDueAt()));
    return FoldReactions.react(next, before, loaded.occurredAt())
        .plus(new Effect.ReadLogFrom(loaded.appliedState().offset() + 1));
  }
}
