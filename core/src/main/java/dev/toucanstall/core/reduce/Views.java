package dev.toucanstall.core.reduce;

import dev.toucanstall.core.effect.OperatorAnswer;
import dev.toucanstall.core.effect.OperatorAnswer.DecisionLine;
import dev.toucanstall.core.effect.OperatorAnswer.InstanceLine;
import dev.toucanstall.core.effect.OperatorAnswer.MemberLine;
import dev.toucanstall.core.effect.OperatorAnswer.TeamLine;
import dev.toucanstall.core.effect.OperatorAnswer.UnknownNameLine;
import dev.toucanstall.core.effect.OperatorAnswer.WaveLine;
import dev.toucanstall.core.fold.FleetInstance;
import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.model.TeamId;
import dev.toucanstall.core.peer.SlotKey;
import dev.toucanstall.core.settings.Settings;
import dev.toucanstall.core.settings.Wave;
import dev.toucanstall.core.state.Health;
import dev.toucanstall.core.state.PeerView;
import dev.toucanstall.core.state.PoolQueue;
import dev.toucanstall.core.state.SlotUsage;
import dev.toucanstall.core.state.State;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;

/** Makes the answers to operators' questions out of the state. Stateless. */
final class Views {

  private static final long NANOS_PER_MILLI = 1_000_000;

  private Views() {}

  static OperatorAnswer instances(State state, long now) {
    return new OperatorAnswer.InstancesShown(
        state.appliedState().fleet().instances().values().stream()
            .map(instance -> instanceLine(state, instance, now))
            .toList());
  }

  private static InstanceLine instanceLine(State state, FleetInstance instance, long now) {
    return new InstanceLine(
        instance.id(),
        instance.pool(),
        instance.phase().label(),
        instance.observed().condition().name().toLowerCase(Locale.ROOT),
        instance.observed().domain().value(),
        RequestRules.runningOn(state, instance.id()),
        healthName(state.healthOf(instance.id()), now));
  }

  private static String healthName(Health health, long now) {
    if (health.probing()) {
      return "probing";
    }
    return health.acceptsRequest(now) ? "good" : "suspended";
  }

  static OperatorAnswer waves(State state) {
    return new OperatorAnswer.WavesShown(
        state.appliedState().settings().waves().values().stream()
            .map(wave -> waveLine(state, wave))
            .toList());
  }

  private static WaveLine waveLine(State state, Wave wave) {
    Collection<FleetInstance> all = state.appliedState().fleet().instancesInPool(wave.pool());
    int done = (int) all.stream().filter(instance -> wave.id().equals(instance.lastWave())).count();
    List<InstanceId> underWay =
        all.stream()
            .filter(instance -> !instance.phase().takesWork())
            .map(FleetInstance::id)
            .toList();
    String running = wave.running() ? "running" : "paused";
    String waveState = done == all.size() && !all.isEmpty() ? "done" : running;
    return new WaveLine(wave.id(), wave.pool(), waveState, done, all.size(), underWay);
  }

  static OperatorAnswer unknownNames(State state, long now) {
    Comparator<UnknownNameLine> recentFirst =
        Comparator.comparingLong(UnknownNameLine::lastMillisAgo);
    return new OperatorAnswer.UnknownNamesShown(
        state.diagnostics().unknownNames().occurrences().entrySet().stream()
            .map(
                entry ->
                    new UnknownNameLine(
                        entry.getKey().team().value(),
                        entry.getKey().name(),
                        entry.getValue().count(),
                        millisAgo(entry.getValue().firstAt(), now),
                        millisAgo(entry.getValue().lastAt(), now)))
            .sorted(recentFirst.thenComparing(UnknownNameLine::name))
            .toList());
  }

  static OperatorAnswer status(State state, long now) {
    long until = Freshness.freshUntil(state, now);
    return new OperatorAnswer.StatusShown(
        state.localId(),
        state.localMember().identity().incarnation(),
        state.localMember().lifecycle().name().toLowerCase(Locale.ROOT),
        state.appliedState().offset(),
        until > now,
        until > now ? (until - now) / NANOS_PER_MILLI : 0,
        state.appliedState().membership().allMembers().keySet().stream()
            .map(member -> memberLine(state, member, now))
            .toList(),
        teamLines(state, now),
        state.appliedState().membership().pending().size());
  }

  private static MemberLine memberLine(State state, MemberId member, long now) {
    boolean settled = state.appliedState().membership().active().containsKey(member);
    if (member.equals(state.localId())) {
      return new MemberLine(member, settled, state.appliedState().offset(), 0);
    }
    PeerView view = state.peers().getOrInitial(member, now);
    long heard = view.everEchoed() ? millisAgo(view.echoedAt(), now) : -1;
    return new MemberLine(member, settled, view.foldedOffset(), heard);
  }

  private static List<TeamLine> teamLines(State state, long now) {
    Settings settings = state.appliedState().settings();
    Set<TeamId> teams = new TreeSet<>(settings.teams().keySet());
    return teams.stream().map(team -> teamLine(state, team, now)).toList();
  }

  private static TeamLine teamLine(State state, TeamId team, long now) {
    SlotUsage use = SlotRules.current(state, new SlotKey.OfTeam(team), now);
    int waiting = 0;
    for (PoolQueue pool : state.traffic().queuesByPool().values()) {
      waiting += pool.waitingOf(team);
    }
    Settings settings = state.appliedState().settings();
    return new TeamLine(
        team.value(),
        use.running(),
        waiting,
        Math.max(0, use.capacity(now)),
        settings.limit(team),
        settings.share(team));
  }

  static OperatorAnswer explain(State state, String subject, long now) {
    return new OperatorAnswer.Explained(
        state.diagnostics().decisions().entries().values().stream()
            .filter(decision -> decision.subject().startsWith(subject))
            .map(
                decision ->
                    new DecisionLine(
                        millisAgo(decision.decidedAt(), now),
                        decision.subject(),
                        decision.rule(),
                        decision.offset(),
                        decision.text()))
            .toList());
  }

  private static long millisAgo(long at, long now) {
    return (now - at) / NANOS_PER_MILLI;
  }
}
