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

/** Decides on what operators ask and change. Pure. */
final class OperatorReducer {

  private OperatorReducer() {}

  static Transition reduce(State state, Event.OfOperator event) {
    return switch (event) {
      case Event.OperatorAsked asked -> asked(state, asked);
    };
  }

  private static Transition asked(State state, Event.OperatorAsked asked) {
    return switch (asked.request()) {
      case OperatorRequest.ChangeSettings change -> change(state, asked, change);
      case OperatorRequest.RemoveMember remove -> remove(state, asked, remove);
      case OperatorRequest.ShowSettings show ->
          answer(state, asked, showSettings(state, show.path()));
      case OperatorRequest.ShowInForce show ->
          answer(state, asked, showInForce(state, show.offset(), asked.occurredAt()));
      case OperatorRequest.ShowChange show ->
          answer(state, asked, OutboxRules.answerOf(state, show.change()));
      case OperatorRequest.ShowHistory show ->
          answer(state, asked, new OperatorAnswer.HistoryShown(state.appliedState().history()));
      case OperatorRequest.ShowInstances show ->
          answer(state, asked, Views.instances(state, asked.occurredAt()));
      case OperatorRequest.ShowWaves show -> answer(state, asked, Views.waves(state));
      case OperatorRequest.ShowUnknownNames show ->
          answer(state, asked, Views.unknownNames(state, asked.occurredAt()));
      case OperatorRequest.ShowStatus show ->
          answer(state, asked, Views.status(state, asked.occurredAt()));
      case OperatorRequest.Explain explain ->
          answer(state, asked, Views.explain(state, explain.subject(), asked.occurredAt()));
    };
  }

  private static Transition answer(State state, Event.OperatorAsked asked, OperatorAnswer answer) {
    return Transition.of(state, new Effect.AnswerOperator(asked.handle(), answer));
  }

  private static Transition reject(State state, Event.OperatorAsked asked, String why) {
    return answer(state, asked, new OperatorAnswer.Rejected(why));
  }

  private static Transition change(
      State state, Event.OperatorAsked asked, OperatorRequest.ChangeSettings change) {
    if (!Names.isName(change.change())) {
      return reject(
          state,
          asked,
          "change id \"%s\" is not a name".formatted(Names.abbreviate(change.change())));
    }
    if (state.outbox().changeOutcomes().containsKey(change.change())) {
      return answer(state, asked, OutboxRules.answerOf(state, change.change()));
    }
    if (!Freshness.isLogConfirmed(state, asked.occurredAt())) {
      return reject(
          state, asked, "the log has not answered lately; the change was not written to it");
    }
    RecordBody body =
        new RecordBody.SettingsChanged(
            change.subtree(), change.base(), change.author(), change.assignments());
    return OutboxRules.appendFor(state, asked.handle(), change.change(), body, asked.occurredAt());
  }

  private static Transition remove(
      State state, Event.OperatorAsked asked, OperatorRequest.RemoveMember remove) {
    Member member = state.appliedState().membership().active().get(remove.member());
    if (member == null) {
      return reject(state, asked, "member \"%s\" does not exist".formatted(remove.member()));
    }
    return OutboxRules.appendFor(
        state,
        asked.handle(),
        remove.change(),
        new RecordBody.MemberRemoved(member.id(), member.incarnation()),
        asked.occurredAt());
  }

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

  private static OperatorAnswer showInForce(State state, long offset, long now) {
    List<MemberId> have =
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
    List<MemberId> lack =
        state.appliedState().membership().active().keySet().stream()
            .filter(member -> !have.contains(member))
            .toList();
    Map.Entry<Long, Long> mark = state.peers().majorityFoldedAt().ceilingEntry(offset);
    long margin = state.localMember().timing().freshness() / 100;
    boolean fenced =
        mark != null && now - mark.getValue() > state.localMember().timing().freshness() + margin;
    return new OperatorAnswer.InForceShown(offset, have, lack, lack.isEmpty() || fenced);
  }
}
