package dev.toucanstall.testbed.soak;

import dev.toucanstall.testbed.soak.Fault.CrashServers;
import dev.toucanstall.testbed.soak.Fault.CutServers;
import dev.toucanstall.testbed.soak.Fault.CutStore;
import dev.toucanstall.testbed.soak.Fault.HoldOrders;
import dev.toucanstall.testbed.soak.Fault.RefuseStore;
import dev.toucanstall.testbed.soak.Fault.Scope;
import dev.toucanstall.testbed.soak.SoakEffect.PostLater;
import dev.toucanstall.testbed.soak.SoakEffect.SetLink;
import dev.toucanstall.testbed.soak.SoakEffect.Signal;
import dev.toucanstall.testbed.soak.SoakEffect.SignalEntry;
import dev.toucanstall.testbed.soak.SoakState.ServerState;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.stream.IntStream;

/** Carries out faults: chooses whom they hit and what follows when they end. */
final class FaultRules {

  /** Target of a link to the store. */
  static final int STORE = 0;

  /** Time for which an entry instance that is back is no target. */
  private static final long RETURN_MS = 500;

  /** Time of an end that never comes by itself. */
  private static final long NEVER = Long.MAX_VALUE / 2;

  private FaultRules() {}

  /** Returns the target of a link to a backend server. */
  static int target(ServerState server) {
    return server.index + 1;
  }

  static void begin(SoakState state, long at, Fault fault, List<SoakEffect> effects) {
    effects.add(BackendRules.note(at, "fault %s; entry-%d plans", fault, state.planner));
    switch (fault) {
      case Fault.KillPlanner kill ->
          takeAway(state, at, kill.downMs(), Signal.KILL, Signal.START, effects);
      case Fault.FreezePlanner freeze ->
          takeAway(state, at, freeze.frozenMs(), Signal.FREEZE, Signal.THAW, effects);
      case CutServers cut -> cutServers(state, at, cut, effects);
      case Fault.CutStarted cut -> cutStarted(state, at, cut, effects);
      case CrashServers crash ->
          some(state, upServers(state), crash.count())
              .forEach(server -> crash(state, server, at, crash, effects));
      case Fault.LoseServer lose ->
          some(state, upServers(state), 1)
              .forEach(
                  server ->
                      crash(
                          state,
                          server,
                          at,
                          new CrashServers(1, false, lose.silent(), NEVER),
                          effects));
      case RefuseStore refuse -> refuseStore(state, at, refuse);
      case CutStore cut ->
          entries(state, cut.scope())
              .forEach(entry -> cut(state, entry, STORE, cut.mode(), cut.cutMs(), effects));
      case HoldOrders hold ->
          share(state, upServers(state), hold.share())
              .forEach(
                  server -> {
                    server.holdOrdersUntil = at + hold.windowMs();
                    server.holdOrdersMs = hold.lateMs();
                  });
      case Fault.ReassignGroup reassign -> StoreRules.reassignGroup(state);
    }
  }

  /** Kills or freezes the planner, or another instance if it is away already. */
  private static void takeAway(
      SoakState state,
      long at,
      long awayMs,
      Signal first,
      Signal second,
      List<SoakEffect> effects) {
    int entry = state.planner;
    if (entry < 0 || at < state.awayUntil[entry]) {
      effects.add(BackendRules.note(at, "no planner is there to be hit"));
      return;
    }
    state.awayUntil[entry] = at + awayMs + RETURN_MS;
    effects.add(BackendRules.note(at, "entry-%d: %s for %d ms", entry, first, awayMs));
    effects.add(new SignalEntry(entry, first, 0));
    effects.add(new SignalEntry(entry, second, awayMs));
  }

  private static void refuseStore(SoakState state, long at, RefuseStore refuse) {
    long until = at + refuse.refusedMs();
    for (int entry : entries(state, refuse.scope())) {
      state.store.refusedUntil[entry] = until;
      state.store.refusals[entry] = refuse.refusal();
    }
    if (refuse.scope() == Scope.ALL) {
      state.servers.forEach(
          server -> server.cutFromStoreUntil = Math.max(server.cutFromStoreUntil, until));
    }
  }

  private static List<ServerState> upServers(SoakState state) {
    return state.servers.stream().filter(server -> server.up).toList();
  }

  private static List<ServerState> some(SoakState state, List<ServerState> all, int count) {
    List<ServerState> shuffled = new ArrayList<>(all);
    Collections.shuffle(shuffled, state.random);
    return shuffled.subList(0, Math.min(count, shuffled.size()));
  }

  private static List<ServerState> share(SoakState state, List<ServerState> all, double share) {
    return some(state, all, (int) Math.ceil(share * all.size()));
  }

  private static List<Integer> entries(SoakState state, Scope scope) {
    int count = state.awayUntil.length;
    return IntStream.range(0, count)
        .filter(
            entry ->
                switch (scope) {
                  case ALL -> true;
                  case PLANNER -> entry == state.planner;
                  case ALL_BUT_PLANNER -> entry != state.planner;
                  case HALF -> state.random.nextBoolean();
                })
        .boxed()
        .toList();
  }

  private static void cutServers(
      SoakState state, long at, CutServers cut, List<SoakEffect> effects) {
    cutAll(state, at, share(state, upServers(state), cut.share()), cut, effects);
  }

  private static void cutStarted(
      SoakState state, long at, Fault.CutStarted cut, List<SoakEffect> effects) {
    List<ServerState> started =
        upServers(state).stream().filter(server -> at - server.startedAt <= cut.upMs()).toList();
    CutServers whole = new CutServers(cut.mode(), 1, Scope.ALL, true, cut.cutMs());
    cutAll(state, at, started, whole, effects);
  }

  private static void cutAll(
      SoakState state,
      long at,
      List<ServerState> servers,
      CutServers cut,
      List<SoakEffect> effects) {
    List<Integer> entries = entries(state, cut.scope());
    for (ServerState server : servers) {
      if (cut.alsoFromStore()) {
        server.cutFromStoreUntil = Math.max(server.cutFromStoreUntil, at + cut.cutMs());
      }
      effects.add(BackendRules.note(at, "w%d cut from %s", server.index, entries));
      for (int entry : entries) {
        cut(state, entry, target(server), cut.mode(), cut.cutMs(), effects);
      }
    }
  }

  private static void cut(
      SoakState state,
      int entry,
      int target,
      LinkMode mode,
      long millis,
      List<SoakEffect> effects) {
    List<LinkMode> held =
        state.cuts.computeIfAbsent(List.of(entry, target), k -> new ArrayList<>());
    held.add(mode);
    effects.add(new SetLink(entry, target, mode));
    if (millis < NEVER) {
      effects.add(new PostLater(new SoakEvent.CutEnds(entry, target, mode), millis));
    }
  }

  /** Ends one cut of a link; the newest of the others that hold goes on. */
  static void endCut(SoakState state, SoakEvent.CutEnds end, List<SoakEffect> effects) {
    List<LinkMode> held =
        state.cuts.computeIfAbsent(List.of(end.entry(), end.target()), k -> new ArrayList<>());
    held.remove(end.mode());
    LinkMode mode = held.isEmpty() ? LinkMode.PASS : held.getLast();
    effects.add(new SetLink(end.entry(), end.target(), mode));
  }

  private static void crash(
      SoakState state, ServerState server, long at, CrashServers crash, List<SoakEffect> effects) {
    BackendRules.crash(server, at, effects);
    LinkMode mode = crash.silent() ? LinkMode.SILENT : LinkMode.RESET;
    for (int entry = 0; entry < state.awayUntil.length; entry++) {
      cut(state, entry, target(server), mode, NEVER, effects);
    }
    if (crash.downMs() < NEVER) {
      effects.add(
          new PostLater(
              new SoakEvent.ServerStarts(at + crash.downMs(), server.index, crash.sameId(), mode),
              crash.downMs()));
    }
  }

  /** Starts a server that has ended; what was sent to the incarnation before is lost. */
  static void startAgain(SoakState state, SoakEvent.ServerStarts starts, List<SoakEffect> effects) {
    ServerState server = state.servers.get(starts.server());
    if (server.up) {
      return;
    }
    for (int entry = 0; entry < state.awayUntil.length; entry++) {
      effects.add(new SetLink(entry, target(server), LinkMode.RESET));
      SoakEvent.CutEnds end = new SoakEvent.CutEnds(entry, target(server), starts.downMode());
      endCut(state, end, effects);
    }
    BackendRules.start(state, server, starts.sameId(), starts.at(), effects);
  }

  /** Ends what holds: links pass, lost servers are replaced, the store serves everyone. */
  static void end(SoakState state, long at, List<SoakEffect> effects) {
    effects.add(BackendRules.note(at, "the faults end"));
    for (ServerState server : state.servers) {
      server.holdOrdersUntil = 0;
      server.cutFromStoreUntil = 0;
      startAgain(
          state, new SoakEvent.ServerStarts(at, server.index, false, LinkMode.SILENT), effects);
    }
    Arrays.fill(state.store.refusedUntil, 0);
    state.cuts.forEach(
        (link, held) -> {
          held.clear();
          effects.add(new SetLink(link.get(0), link.get(1), LinkMode.PASS));
        });
  }
}
