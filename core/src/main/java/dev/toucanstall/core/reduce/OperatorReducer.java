package dev.toucanstall.core.reduce;

import dev.toucanstall.core.effect.Effect;
import dev.toucanstall.core.effect.OperatorAnswer;
import dev.toucanstall.core.event.Event;
import dev.toucanstall.core.event.OperatorRequest;
import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.model.Names;
import dev.toucanstall.core.record.Member;
import dev.toucanstall.core.record.RecordBody;
import dev.toucanstall.core.settings.SettingsPath;
import dev.toucanstall.core.state.State;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/** Reducer of the requests of operators. Pure. */
final class OperatorReducer {

  private OperatorReducer() {}

  static Transition reduce(State state, Event.OfOperator event) {
    return switch (event) {
      case Event.OperatorAsked operatorAsked -> handleRequest(state, operatorAsked);
    };
  }

  private static Transition handleRequest(State state, Event.OperatorAsked event) {
    return switch (event.request()) {
      case OperatorRequest.ChangeSettings change -> changeSettings(state, event, change);
      case OperatorRequest.RemoveMember remove -> removeMember(state, event, remove);
      case OperatorRequest.ShowSettings show ->
          answer(state, event, showSettings(state, show.path()));
      case OperatorRequest.ShowInForce show ->
          answer(state, event, showInForce(state, show.offset(), event.occurredAt()));
      case OperatorRequest.ShowChange show ->
          answer(state, event, OutboxRules.answerForChange(state, show.change()));
      case OperatorRequest.ShowHistory show ->
          answer(state, event, new OperatorAnswer.HistoryShown(state.appliedState().history()));
      case OperatorRequest.ShowInstances show ->
          answer(state, event, OperatorAnswers.instances(state, event.occurredAt()));
      case OperatorRequest.ShowWaves show -> answer(state, event, OperatorAnswers.waves(state));
      case OperatorRequest.ShowUnknownNames show ->
          answer(state, event, OperatorAnswers.unknownNames(state, event.occurredAt()));
      case OperatorRequest.ShowStatus show ->
          answer(state, event, OperatorAnswers.status(state, event.occurredAt()));
      case OperatorRequest.Explain explain ->
          answer(
              state, event, OperatorAnswers.explain(state, explain.subject(), event.occurredAt()));
    };
  }

  private static Transition answer(State state, Event.OperatorAsked event, OperatorAnswer answer) {
    return Transition.of(state, new Effect.AnswerOperator(event.handle(), answer));
  }

  private static Transition reject(State state, Event.OperatorAsked event, String reason) {
    return answer(state, event, new OperatorAnswer.Rejected(reason));
  }

  /**
   * Appends a change of settings. A change whose outcome is known is answered by that outcome and
   * not appended again; a change is rejected while the log is not confirmed.
   */
  private static Transition changeSettings(
      State state, Event.OperatorAsked event, OperatorRequest.ChangeSettings change) {
    if (!Names.isName(change.change())) {
      return reject(
          state,
          event,
          "change id \"%s\" is not a name".formatted(Names.abbreviate(change.change())));
    }
    if (state.outbox().changeOutcomes().containsKey(change.change())) {
      return answer(state, event, OutboxRules.answerForChange(state, change.change()));
    }
    if (!Freshness.isLogConfirmed(state, event.occurredAt())) {
      return reject(
          state, event, "the log has not answered lately; the change was not written to it");
    }
    RecordBody body =
        new RecordBody.SettingsChanged(
            change.subtree(), change.base(), change.author(), change.assignments());
    return OutboxRules.appendForOperator(
        state, event.handle(), change.change(), body, event.occurredAt());
  }

  /** Appends the removal of an active member that the operator asserts to have ended. */
  private static Transition removeMember(
      State state, Event.OperatorAsked event, OperatorRequest.RemoveMember remove) {
    Member member = state.appliedState().membership().active().get(remove.member());
    if (member == null) {
      return reject(state, event, "member \"%s\" does not exist".formatted(remove.member()));
    }
    return OutboxRules.appendForOperator(
        state,
        event.handle(),
        remove.change(),
        new RecordBody.MemberRemoved(member.id(), member.incarnation()),
        event.occurredAt());
  }

  /** Returns the settings at and below a path, or a rejection if the path is malformed. */
  private static OperatorAnswer showSettings(State state, String text) {
    SettingsPath path;
    try {
      path = SettingsPath.parse(text);
    } catch (IllegalArgumentException e) {
      return new OperatorAnswer.Rejected(String.valueOf(e.getMessage()));
    }
    TreeMap<String, String> values = new TreeMap<>();
    state
        .appliedState()
        .tree()
        .subtree(path)
        .forEach((name, leaf) -> values.put(name, leaf.value()));
    return new OperatorAnswer.SettingsShown(
        path.toString(), state.appliedState().tree().version(path), values);
  }

  /**
   * Tells whether a record is in force, which means that no entry instance without it can admit
   * work.
   *
   * <p>A record is in force if all active members have applied it, or if the freshness time has
   * passed since a majority had applied it: an entry instance without the record cannot have had
   * contact with that majority or the log since then. A margin of 1% allows for clocks that run at
   * different rates.
   */
  private static OperatorAnswer showInForce(State state, long offset, long now) {
    List<MemberId> withRecord =
        Stream.concat(
                state.appliedState().offset() >= offset
                    ? Stream.of(state.localId())
                    : Stream.empty(),
                state.appliedState().membership().active().keySet().stream()
                    .filter(member -> !member.equals(state.localId()))
                    .filter(member -> Freshness.isCurrent(state, member))
                    .filter(
                        member -> state.peers().getOrInitial(member, now).foldedOffset() >= offset))
            .toList();
    List<MemberId> withoutRecord =
        state.appliedState().membership().active().keySet().stream()
            .filter(member -> !withRecord.contains(member))
            .toList();
    Map.Entry<Long, Long> majorityFolded =
        state.peers().foldTimeByMajorityOffset().ceilingEntry(offset);
    long margin = state.localMember().timing().freshness() / 100;
    boolean fenced =
        majorityFolded != null
            && now - majorityFolded.getValue() > state.localMember().timing().freshness() + margin;
    return new OperatorAnswer.InForceShown(
        offset, withRecord, withoutRecord, withoutRecord.isEmpty() || fenced);
  }
}
