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

/** Decides on events of the log. Pure. */
final class LogReducer {

  private LogReducer() {}

  static Transition reduce(State state, Event.OfLog event) {
    return switch (event) {
      case Event.LogRead read -> read(state, read);
      case Event.SnapshotLoaded loaded -> load(state, loaded);
    };
  }

  private static Transition read(State state, Event.LogRead read) {
    long next = state.appliedState().offset() + 1;
    if (read.endOffset() < next) {
      return Transition.of(
          state,
          new Effect.Alarm(
              "log-shorter",
              "log ends at %d but %d was folded".formatted(read.endOffset(), next - 1)));
    }
    boolean gap =
        read.entries().isEmpty()
            ? read.firstOffset() > next
            : read.entries().get(0).offset() > next;
    if (gap) {
      return Transition.of(
          state,
          new Effect.Alarm(
              "log-gap",
              "log begins at %d but %d is the next to fold".formatted(read.firstOffset(), next)),
          new Effect.ReloadLog());
    }
    return fold(state, read.entries(), read.occurredAt())
        .map(s -> s.withLog(s.log().withFirstOffset(read.firstOffset())))
        .then(s -> confirm(s, read));
  }

  /** Folds records that follow the state, skipping those folded already. */
  static Transition fold(State state, List<LogEntry> entries, long now) {
    if (entries.isEmpty()) {
      return Transition.of(state);
    }
    AppliedState before = state.appliedState();
    Transition step = Transition.of(state);
    for (LogEntry entry : entries) {
      step = step.then(s -> foldOne(s, entry));
    }
    boolean moved = step.state().appliedState().offset() != before.offset();
    return moved ? step.then(s -> AfterFold.react(s, before, now)) : step;
  }

  private static Transition foldOne(State state, LogEntry entry) {
    boolean next = entry.offset() == state.appliedState().offset() + 1;
    if (!next || state.log().isStalled()) {
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
    FoldResult folded = Fold.apply(state.appliedState(), entry);
    State moved = state.withAppliedState(folded.state()).withLog(state.log().withTailEntry(entry));
    return OutboxRules.readBack(moved, entry, folded.outcome())
        .then(s -> noteRefusal(s, entry, folded.outcome()));
  }

  private static Transition noteRefusal(State state, LogEntry entry, RecordOutcome outcome) {
    return outcome
        .refusal()
        .map(
            why ->
                Transition.of(
                    state,
                    new Effect.LogDecision("record/" + entry.offset(), "fold", "refused: " + why)))
        .orElseGet(() -> Transition.of(state));
  }

  private static Transition confirm(State state, Event.LogRead read) {
    boolean atEnd = state.appliedState().offset() + 1 >= read.endOffset();
    return atEnd && !state.log().isStalled()
        ? Transition.of(state.withLog(state.log().withConfirmation(read.requestedAt())))
        : Transition.of(state);
  }

  private static Transition load(State state, Event.SnapshotLoaded loaded) {
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
    return AfterFold.react(next, before, loaded.occurredAt())
        .plus(new Effect.ReadLogFrom(loaded.appliedState().offset() + 1));
  }
}
