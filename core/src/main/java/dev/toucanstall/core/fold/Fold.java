package dev.toucanstall.core.fold;

import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.model.Names;
import dev.toucanstall.core.record.LogEntry;
import dev.toucanstall.core.record.RecordBody;
import java.util.Optional;

/**
 * Folds records of the log into the state, in the order of their offsets. Pure: the same records
 * give the same state on every replica. Whether a record takes effect is decided here and nowhere
 * else.
 */
public final class Fold {

  private Fold() {}

  /**
   * Folds one record.
   *
   * @param state the state after the record before it
   * @param entry the record
   * @return the state after it and what became of the record
   * @throws IllegalArgumentException if the offset is not the next one
   */
  public static FoldResult apply(AppliedState state, LogEntry entry) {
    if (entry.offset() != state.offset() + 1) {
      throw new IllegalArgumentException(
          "offset %d does not follow %d".formatted(entry.offset(), state.offset()));
    }
    FoldResult step = decide(state, entry);
    return new FoldResult(step.state().withDigestOf(step.outcome()), step.outcome());
  }

  private static FoldResult decide(AppliedState state, LogEntry entry) {
    AppliedState moved = state.at(entry.offset());
    if (state.hasFolded(entry.producer(), entry.sequence())) {
      return new FoldResult(moved, new RecordOutcome.Repeated());
    }
    AppliedState marked = moved.withProducer(entry.producer(), entry.sequence(), entry.offset());
    return dispatch(marked, entry);
  }

  private static FoldResult dispatch(AppliedState state, LogEntry entry) {
    return switch (entry.body()) {
      case RecordBody.SettingsChanged change -> SettingsFold.change(state, entry, change);
      case RecordBody.MemberJoined joined ->
          FoldResult.applied(
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
          FoldResult.applied(
              part.index() == part.count() - 1 ? state.withSnapshotAt(part.foldedTo()) : state);
      case RecordBody.UnknownRecord unknown ->
          FoldResult.refused(
              state, "record kind \"%s\" is not known".formatted(Names.abbreviate(unknown.kind())));
    };
  }

  private static FoldResult go(AppliedState state, MemberChange.Going going) {
    return state
        .membership()
        .queueGoing(going)
        .map(next -> FoldResult.applied(state.withMembership(next)))
        .orElseGet(
            () ->
                FoldResult.refused(
                    state,
                    "member \"%s\" of incarnation %d does not exist or goes already"
                        .formatted(going.subject(), going.incarnation())));
  }

  private static FoldResult remove(
      AppliedState state, LogEntry entry, RecordBody.MemberRemoved removed) {
    if (!state.membership().isActive(removed.member(), removed.incarnation())) {
      return FoldResult.refused(
          state,
          "member \"%s\" of incarnation %d does not exist"
              .formatted(removed.member(), removed.incarnation()));
    }
    return FoldResult.applied(
        state.withMembership(state.membership().remove(removed.member(), entry.offset())));
  }

  private static FoldResult acknowledge(
      AppliedState state, LogEntry entry, RecordBody.MembershipAcknowledged ack) {
    Optional<Membership> next =
        isKnownStart(state, entry)
            ? state
                .membership()
                .acknowledge(new MemberId(entry.producer().name()), ack.change(), entry.offset())
            : Optional.empty();
    return next.map(membership -> FoldResult.applied(state.withMembership(membership)))
        .orElseGet(
            () ->
                FoldResult.refused(
                    state,
                    "change %d does not wait for \"%s\""
                        .formatted(ack.change(), entry.producer().name())));
  }

  private static boolean isKnownStart(AppliedState state, LogEntry entry) {
    if (!Names.isName(entry.producer().name())) {
      return false;
    }
    var member = state.membership().allMembers().get(new MemberId(entry.producer().name()));
    return member != null && member.incarnation() == entry.producer().incarnation();
  }
}
