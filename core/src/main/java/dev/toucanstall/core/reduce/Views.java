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
import dev.toucanstall.core.state.SlotUse;
import dev.toucanstall.core.state.State;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;

/** Builds the answers to operators' queries from the state. Stateless. */
final class Views {

  private static final long NANOS_PER_MILLI = 1_000_000;

  private Views() {}

  /** Lists the instances of the fleet. */
  static OperatorAnswer instances(State state, long now) {
    return new OperatorAnswer.InstancesShown(
        state.folded().fleet().instances().values().stream()
            .map(instance -> instanceLine(state, instance, now))
            .toList());
  }

  private static InstanceLine instanceLine(State state, FleetInstance instance, long now) {
    return new InstanceLine(
        instance.id(),
        instance.pool(),
        instance.phase().word(),
        instance.observed().condition().name().toLowerCase(Locale.ROOT),
        instance.observed().domain().value(),
        RequestRules.runningOn(state, instance.id()),
        healthName(state.healthOf(instance.id()), now));
  }

  /** Returns "good", "suspended" or "probing". */
  private static String healthName(Health health, long now) {
    if (health.probing()) {
      return "probing";
    }
    return health.mayStart(now) ? "good" : "suspended";
  }

  /** Lists the maintenance waves with their progress. */
  static OperatorAnswer waves(State state) {
    return new OperatorAnswer.WavesShown(
        state.folded().settings().waves().values().stream()
            .map(wave -> waveLine(state, wave))
            .toList());
  }

  /**
   * Describes a wave. It is "done" once it has restarted every instance of its pool, of which there is
   * at least one.
   */
  private static WaveLine waveLine(State state, Wave wave) {
    Collection<FleetInstance> all = state.folded().fleet().of(wave.pool());
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

  /** Lists the names that callers requested and no setting defines, most recent first. */
  static OperatorAnswer unknownNames(State state, long now) {
    Comparator<UnknownNameLine> recentFirst =
        Comparator.comparingLong(UnknownNameLine::lastMillisAgo);
    return new OperatorAnswer.UnknownNamesShown(
        state.journal().unknownNames().seen().entrySet().stream()
            .map(
                entry ->
                    new UnknownNameLine(
                        entry.getKey().team().value(),
                        entry.getKey().name(),
                        entry.getValue().count(),
                        millisAgo(entry.getValue().first(), now),
                        millisAgo(entry.getValue().last(), now)))
            .sorted(recentFirst.thenComparing(UnknownNameLine::name))
            .toList());
  }

  /** Describes this entry instance, its view of the members and the work of the teams. */
  static OperatorAnswer status(State state, long now) {
    long until = Freshness.freshUntil(state, now);
    return new OperatorAnswer.StatusShown(
        state.me(),
        state.self().member().incarnation(),
        state.self().life().name().toLowerCase(Locale.ROOT),
        state.folded().offset(),
        until > now,
        until > now ? (until - now) / NANOS_PER_MILLI : 0,
        state.folded().membership().reachable().keySet().stream()
            .map(member -> memberLine(state, member, now))
            .toList(),
        teamLines(state, now),
        state.folded().membership().pending().size());
  }

  /** Describes a member; the time since the last confirmed contact is -1 if there was none. */
  private static MemberLine memberLine(State state, MemberId member, long now) {
    boolean settled = state.folded().membership().active().containsKey(member);
    if (member.equals(state.me())) {
      return new MemberLine(member, settled, state.folded().offset(), 0);
    }
    PeerView view = state.peers().getOrUnheard(member, now);
    long heard = view.everEchoed() ? millisAgo(view.echoedAt(), now) : -1;
    return new MemberLine(member, settled, view.folded(), heard);
  }

  private static List<TeamLine> teamLines(State state, long now) {
    Settings settings = state.folded().settings();
    Set<TeamId> teams = new TreeSet<>(settings.teams().keySet());
    return teams.stream().map(team -> teamLine(state, team, now)).toList();
  }

  /** Describes a team's requests and slots at this entry instance. */
  private static TeamLine teamLine(State state, TeamId team, long now) {
    SlotUse use = SlotRules.current(state, new SlotKey.OfTeam(team), now);
    int waiting = 0;
    for (PoolQueue pool : state.traffic().pools().values()) {
      waiting += pool.waitingOf(team);
    }
    Settings settings = state.folded().settings();
    return new TeamLine(
        team.value(),
        use.running(),
        waiting,
        Math.max(0, use.capacity(now)),
        settings.limit(team),
        settings.share(team));
  }

  /**
   * Lists the recorded decisions whose subject starts with a prefix, oldest first. An empty prefix
   * selects all.
   */
  static OperatorAnswer explain(State state, String subject, long now) {
    return new OperatorAnswer.Explained(
        state.journal().decisions().kept().values().stream()
            .filter(decision -> decision.subject().startsWith(subject))
            .map(
                decision ->
                    new DecisionLine(
                        millisAgo(decision.at(), now),
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
