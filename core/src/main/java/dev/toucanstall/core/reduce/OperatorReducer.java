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

  static Step reduce(State state, Event.OfOperator event) {
    return switch (event) {
      case Event.OperatorAsked asked -> asked(state, asked);
    };
  }

  /** Answers a query, or appends the record of a change and answers once it is read back. */
  private static Step asked(State state, Event.OperatorAsked asked) {
    return switch (asked.request()) {
      case OperatorRequest.ChangeSettings change -> change(state, asked, change);
      case OperatorRequest.RemoveMember remove -> remove(state, asked, remove);
      case OperatorRequest.ShowSettings show ->
          answer(state, asked, showSettings(state, show.path()));
      case OperatorRequest.ShowInForce show ->
          answer(state, asked, showInForce(state, show.offset(), asked.at()));
      case OperatorRequest.ShowChange show ->
          answer(state, asked, OutboxRules.answerOf(state, show.change()));
      case OperatorRequest.ShowHistory show ->
          answer(state, asked, new OperatorAnswer.HistoryShown(state.folded().history()));
      case OperatorRequest.ShowInstances show ->
          answer(state, asked, Views.instances(state, asked.at()));
      case OperatorRequest.ShowWaves show -> answer(state, asked, Views.waves(state));
      case OperatorRequest.ShowUnknownNames show ->
          answer(state, asked, Views.unknownNames(state, asked.at()));
      case OperatorRequest.ShowStatus show -> answer(state, asked, Views.status(state, asked.at()));
      case OperatorRequest.Explain explain ->
          answer(state, asked, Views.explain(state, explain.subject(), asked.at()));
    };
  }

  private static Step answer(State state, Event.OperatorAsked asked, OperatorAnswer answer) {
    return Step.of(state, new Effect.AnswerOperator(asked.handle(), answer));
  }

  private static Step reject(State state, Event.OperatorAsked asked, String why) {
    return answer(state, asked, new OperatorAnswer.Rejected(why));
  }

  /**
   * Appends a change of settings. A change whose outcome is known is answered by that outcome and not
   * appended again; a change is rejected while the log is not confirmed.
   */
  private static Step change(
      State state, Event.OperatorAsked asked, OperatorRequest.ChangeSettings change) {
    if (!Names.isName(change.change())) {
      return reject(
          state, asked, "change id \"%s\" is not a name".formatted(Names.shorten(change.change())));
    }
    if (state.outbox().outcomes().containsKey(change.change())) {
      return answer(state, asked, OutboxRules.answerOf(state, change.change()));
    }
    if (!Freshness.isLogConfirmed(state, asked.at())) {
      return reject(
          state, asked, "the log has not answered lately; the change was not written to it");
    }
    RecordBody body =
        new RecordBody.SettingsChanged(
            change.subtree(), change.base(), change.author(), change.assignments());
    return OutboxRules.appendFor(state, asked.handle(), change.change(), body, asked.at());
  }

  /** Appends the removal of an active member that the operator asserts to have ended. */
  private static Step remove(
      State state, Event.OperatorAsked asked, OperatorRequest.RemoveMember remove) {
    Member member = state.folded().membership().active().get(remove.member());
    if (member == null) {
      return reject(state, asked, "member \"%s\" does not exist".formatted(remove.member()));
    }
    return OutboxRules.appendFor(
        state,
        asked.handle(),
        remove.change(),
        new RecordBody.MemberRemoved(member.id(), member.incarnation()),
        asked.at());
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
    state.folded().tree().subtree(path).forEach((name, leaf) -> values.put(name, leaf.value()));
    return new OperatorAnswer.SettingsShown(
        path.toString(), state.folded().tree().version(path), values);
  }

  /**
   * Tells whether a record is in force, which means that no entry instance without it can admit work.
   *
   * <p>That is so if all active members have applied it, or if the freshness time has passed since a
   * majority had applied it: an entry instance without the record cannot have had contact with that
   * majority or the log since then. A margin of 1% allows for clocks that run at different rates.
   */
  private static OperatorAnswer showInForce(State state, long offset, long now) {
    List<MemberId> have =
        Stream.concat(
                state.folded().offset() >= offset ? Stream.of(state.me()) : Stream.empty(),
                state.folded().membership().active().keySet().stream()
                    .filter(member -> !member.equals(state.me()))
                    .filter(member -> Freshness.isCurrent(state, member))
                    .filter(member -> state.peers().getOrUnheard(member, now).folded() >= offset))
            .toList();
    List<MemberId> lack =
        state.folded().membership().active().keySet().stream()
            .filter(member -> !have.contains(member))
            .toList();
    Map.Entry<Long, Long> mark = state.peers().majorityAt().ceilingEntry(offset);
    long margin = state.self().timing().freshness() / 100;
    boolean fenced =
        mark != null && now - mark.getValue() > state.self().timing().freshness() + margin;
    return new OperatorAnswer.InForceShown(offset, have, lack, lack.isEmpty() || fenced);
  }
}
