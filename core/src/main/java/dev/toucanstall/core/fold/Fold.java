package dev.toucanstall.core.fold;

import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.model.Names;
import dev.toucanstall.core.record.LogEntry;
import dev.toucanstall.core.record.RecordBody;
import java.util.Optional;

/**
 * Folds records of the log into the state, in the order of their offsets. Pure: the same records
 * give the same state on every replica. Only the fold decides whether a record takes effect.
 */
public final class Fold {

  private Fold() {}

  /**
   * Folds one record.
   *
   * @param state state after the preceding record
   * @param entry the record
   * @return state after the record, and the outcome of the record
   * @throws IllegalArgumentException if the offset of the record does not follow that of the state
   */
  public static FoldStep apply(Folded state, LogEntry entry) {
    if (entry.offset() != state.offset() + 1) {
      throw new IllegalArgumentException(
          "offset %d does not follow %d".formatted(entry.offset(), state.offset()));
    }
    FoldStep step = decide(state, entry);
    return new FoldStep(step.state().withDigestOf(step.outcome()), step.outcome());
  }

  private static FoldStep decide(Folded state, LogEntry entry) {
    Folded moved = state.at(entry.offset());
    if (state.hasFolded(entry.producer(), entry.sequence())) {
      return new FoldStep(moved, new Outcome.Repeated());
    }
    Folded marked = moved.withProducer(entry.producer(), entry.sequence(), entry.offset());
    return dispatch(marked, entry);
  }

  private static FoldStep dispatch(Folded state, LogEntry entry) {
    return switch (entry.body()) {
      case RecordBody.SettingsChanged change -> SettingsFold.change(state, entry, change);
      case RecordBody.MemberJoined joined ->
          FoldStep.applied(
              state.withMembership(state.membership().join(joined.member(), entry.offset())));
      case RecordBody.MemberLeft left ->
          go(
              state,
              new MemberChange.Going(entry.offset(), left.member(), left.incarnation(), true));
      case RecordBody.MemberEvicted evicted ->
          go(
              state,
              new MemberChange.Going(
                  entry.offset(), evicted.member(), evicted.incarnation(), false));
      case RecordBody.MemberRemoved removed -> remove(state, entry, removed);
      case RecordBody.MembershipAcknowledged ack -> acknowledge(state, entry, ack);
      case RecordBody.InstancesObserved observed -> FleetFold.observe(state, observed);
      case RecordBody.DrainStarted drain -> FleetFold.startDrain(state, entry, drain);
      case RecordBody.DrainCancelled cancelled -> FleetFold.cancelDrain(state, cancelled);
      case RecordBody.InstanceEmptied emptied -> FleetFold.empty(state, emptied);
      case RecordBody.InstanceMoved moved -> FleetFold.move(state, moved);
      case RecordBody.SnapshotPart part ->
          FoldStep.applied(
              part.index() == part.count() - 1 ? state.withSnapshotAt(part.foldedTo()) : state);
      case RecordBody.UnknownRecord unknown ->
          FoldStep.refused(
              state, "record kind \"%s\" is not known".formatted(Names.shorten(unknown.kind())));
    };
  }

  private static FoldStep go(Folded state, MemberChange.Going going) {
    return state
        .membership()
        .queueGoing(going)
        .map(next -> FoldStep.applied(state.withMembership(next)))
        .orElseGet(
            () ->
                FoldStep.refused(
                    state,
                    "member \"%s\" of incarnation %d does not exist or goes already"
                        .formatted(going.subject(), going.incarnation())));
  }

  private static FoldStep remove(Folded state, LogEntry entry, RecordBody.MemberRemoved removed) {
    if (!state.membership().isActive(removed.member(), removed.incarnation())) {
      return FoldStep.refused(
          state,
          "member \"%s\" of incarnation %d does not exist"
              .formatted(removed.member(), removed.incarnation()));
    }
    return FoldStep.applied(
        state.withMembership(state.membership().remove(removed.member(), entry.offset())));
  }

  private static FoldStep acknowledge(
      Folded state, LogEntry entry, RecordBody.MembershipAcknowledged ack) {
    Optional<Membership> next =
        isKnownStart(state, entry)
            ? state
                .membership()
                .acknowledge(new MemberId(entry.producer().name()), ack.change(), entry.offset())
            : Optional.empty();
    return next.map(membership -> FoldStep.applied(state.withMembership(membership)))
        .orElseGet(
            () ->
                FoldStep.refused(
                    state,
                    "change %d does not wait for \"%s\""
                        .formatted(ack.change(), entry.producer().name())));
  }

  private static boolean isKnownStart(Folded state, LogEntry entry) {
    if (!Names.isName(entry.producer().name())) {
      return false;
    }
    var member = state.membership().reachable().get(new MemberId(entry.producer().name()));
    return member != null && member.incarnation() == entry.producer().incarnation();
  }
}
