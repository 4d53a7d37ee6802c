package dev.toucanstall.core.reduce;

import dev.toucanstall.core.effect.Effect;
import dev.toucanstall.core.event.Event;
import dev.toucanstall.core.fold.Fold;
import dev.toucanstall.core.fold.FoldStep;
import dev.toucanstall.core.fold.Folded;
import dev.toucanstall.core.fold.Outcome;
import dev.toucanstall.core.record.LogEntry;
import dev.toucanstall.core.record.RecordBody;
import dev.toucanstall.core.state.LogView;
import dev.toucanstall.core.state.State;
import java.util.List;

/** Reducer of reads of the replicated log. Pure. */
final class LogReducer {

  private LogReducer() {}

  static Step reduce(State state, Event.OfLog event) {
    return switch (event) {
      case Event.LogRead read -> read(state, read);
      case Event.SnapshotLoaded loaded -> load(state, loaded);
    };
  }

  /**
   * Applies the records of a read. A log that ends before the applied offset raises an alarm; a log
   * that no longer has the next record raises an alarm and is loaded again from its newest snapshot.
   */
  private static Step read(State state, Event.LogRead read) {
    long next = state.folded().offset() + 1;
    if (read.end() < next) {
      return Step.of(
          state,
          new Effect.Alarm(
              "log-shorter", "log ends at %d but %d was folded".formatted(read.end(), next - 1)));
    }
    boolean gap =
        read.entries().isEmpty() ? read.first() > next : read.entries().get(0).offset() > next;
    if (gap) {
      return Step.of(
          state,
          new Effect.Alarm(
              "log-gap",
              "log begins at %d but %d is the next to fold".formatted(read.first(), next)),
          new Effect.ReloadLog());
    }
    return fold(state, read.entries(), read.at())
        .map(s -> s.withLog(s.log().withFirst(read.first())))
        .then(s -> confirm(s, read));
  }

  /**
   * Applies the records that follow the applied state, in order, and skips those already applied.
   *
   * @param entries consecutive records, from the log or from a peer; may be empty
   * @param now time of the event, in nanoseconds of the monotonic clock
   */
  static Step fold(State state, List<LogEntry> entries, long now) {
    if (entries.isEmpty()) {
      return Step.of(state);
    }
    Folded before = state.folded();
    Step step = Step.of(state);
    for (LogEntry entry : entries) {
      step = step.then(s -> foldOne(s, entry));
    }
    boolean moved = step.state().folded().offset() != before.offset();
    return moved ? step.then(s -> AfterFold.react(s, before, now)) : step;
  }

  /**
   * Applies the record at the next offset and ignores any other.
   *
   * <p>A required record of an unknown kind stalls the log: applying later records without it would
   * make this entry instance diverge from the others.
   */
  private static Step foldOne(State state, LogEntry entry) {
    boolean next = entry.offset() == state.folded().offset() + 1;
    if (!next || state.log().isStalled()) {
      return Step.of(state);
    }
    if (entry.body() instanceof RecordBody.UnknownRecord unknown && unknown.required()) {
      return Step.of(
          state.withLog(state.log().stalled(unknown.kind())),
          new Effect.Alarm(
              "log-stalled",
              "record %d of kind \"%s\" needs a newer version"
                  .formatted(entry.offset(), unknown.kind())));
    }
    FoldStep folded = Fold.apply(state.folded(), entry);
    State moved = state.withFolded(folded.state()).withLog(state.log().withTail(entry));
    return OutboxRules.readBack(moved, entry, folded.outcome())
        .then(s -> noteRefusal(s, entry, folded.outcome()));
  }

  /** Logs the reason for which the fold refused a record, if it did. */
  private static Step noteRefusal(State state, LogEntry entry, Outcome outcome) {
    return outcome
        .refusal()
        .map(
            why ->
                Step.of(
                    state,
                    new Effect.LogDecision("record/" + entry.offset(), "fold", "refused: " + why)))
        .orElseGet(() -> Step.of(state));
  }

  /**
   * Confirms contact with the log as of the time at which the read was sent, if the read reached the
   * end.
   */
  private static Step confirm(State state, Event.LogRead read) {
    boolean atEnd = state.folded().offset() + 1 >= read.end();
    return atEnd && !state.log().isStalled()
        ? Step.of(state.withLog(state.log().confirmed(read.askedAt())))
        : Step.of(state);
  }

  /**
   * Replaces the applied state by that of a snapshot, unless the snapshot is older, and continues to
   * read after it.
   */
  private static Step load(State state, Event.SnapshotLoaded loaded) {
    if (loaded.folded().offset() <= state.folded().offset()) {
      return Step.of(state, new Effect.ReadLogFrom(state.folded().offset() + 1));
    }
    Folded before = state.folded();
    State next =
        state
            .withFolded(loaded.folded())
            .withLog(
                new LogView(
                    state.log().confirmedAt(),
                    state.log().everConfirmed(),
                    state.log().first(),
                    state.log().stalledOn(),
                    LogView.EMPTY.tail(),
                    state.log().snapshotDueAt()));
    return AfterFold.react(next, before, loaded.at())
        .plus(new Effect.ReadLogFrom(loaded.folded().offset() + 1));
  }
}
