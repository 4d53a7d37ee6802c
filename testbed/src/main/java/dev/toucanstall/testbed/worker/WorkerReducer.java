package dev.toucanstall.testbed.worker;

import dev.toucanstall.runtime.loop.Decision;
import dev.toucanstall.testbed.worker.WorkerState.Backend;
import java.time.Duration;
import java.util.Objects;
import java.util.TreeMap;
import org.pcollections.HashPMap;
import org.pcollections.TreePMap;

/** Decides for the stand-ins for backend servers. Pure. */
final class WorkerReducer {

  private static final long RESTART_NANOS = Duration.ofMillis(500).toNanos();

  private WorkerReducer() {}

  static Decision<WorkerState, WorkerEffect> reduce(WorkerState state, WorkerEvent event) {
    return switch (event) {
      case WorkerEvent.Tick tick -> Decision.of(state);
      case WorkerEvent.Arrived arrived -> arrived(state, arrived);
      case WorkerEvent.Ended ended -> ended(state, ended);
      case WorkerEvent.SetFault set ->
          Decision.of(
              state.with(set.server(), backend(state, set.server()).withFault(set.fault())),
              new WorkerEffect.Done(set.handle()));
      case WorkerEvent.Restart restart -> restart(state, restart);
      case WorkerEvent.ShowLedger show -> Decision.of(state, ledger(state, show.handle()));
      case WorkerEvent.ShowStarts show -> Decision.of(state, starts(state, show));
    };
  }

  private static Backend backend(WorkerState state, int server) {
    return Objects.requireNonNullElse(state.servers().get(server), Backend.STARTED);
  }

  private static Decision<WorkerState, WorkerEffect> arrived(
      WorkerState state, WorkerEvent.Arrived arrived) {
    Backend backend = backend(state, arrived.server());
    if (arrived.at() < backend.downUntil()) {
      return Decision.of(state, new WorkerEffect.Proceed(arrived.handle(), false, backend.fault()));
    }
    String team = arrived.team();
    int running = Objects.requireNonNullElse(state.runningTeams().get(team), 0) + 1;
    int most = Math.max(running, Objects.requireNonNullElse(state.teams().get(team), 0));
    WorkerState next =
        new WorkerState(
            state.servers().plus(arrived.server(), backend.plusRunning()),
            state.runs(),
            state.teams().plus(team, most),
            state.runningTeams().plus(team, running));
    return Decision.of(next, new WorkerEffect.Proceed(arrived.handle(), true, backend.fault()));
  }

  private static Decision<WorkerState, WorkerEffect> ended(
      WorkerState state, WorkerEvent.Ended ended) {
    HashPMap<String, Integer> runs = state.runs();
    if (!ended.requestId().isEmpty()) {
      int before = Objects.requireNonNullElse(runs.get(ended.requestId()), 0);
      runs = runs.plus(ended.requestId(), before + 1);
    }
    TreePMap<String, Integer> teams = state.runningTeams();
    int running = Objects.requireNonNullElse(teams.get(ended.team()), 1) - 1;
    return Decision.of(
        new WorkerState(
            state.servers().plus(ended.server(), backend(state, ended.server()).minusRunning()),
            runs,
            state.teams(),
            teams.plus(ended.team(), running)));
  }

  private static Decision<WorkerState, WorkerEffect> restart(
      WorkerState state, WorkerEvent.Restart restart) {
    Backend backend = backend(state, restart.server());
    WorkerEffect done = new WorkerEffect.Done(restart.handle());
    return restart.at() < backend.downUntil()
        ? Decision.of(state, done)
        : Decision.of(
            state.with(restart.server(), backend.restarted(restart.at() + RESTART_NANOS)), done);
  }

  private static WorkerEffect ledger(WorkerState state, long handle) {
    return new WorkerEffect.Ledger(
        handle,
        state.servers().values().stream().mapToLong(Backend::started).sum(),
        state.servers().values().stream().mapToLong(Backend::ended).sum(),
        state.runs().values().stream().filter(count -> count > 1).count(),
        state.servers().values().stream().mapToLong(Backend::cutByRestart).sum(),
        state.servers().values().stream().mapToInt(Backend::mostRunning).max().orElse(0),
        new TreeMap<>(state.teams()));
  }

  private static WorkerEffect starts(WorkerState state, WorkerEvent.ShowStarts show) {
    TreeMap<Integer, Long> up = new TreeMap<>();
    state
        .servers()
        .forEach(
            (index, backend) -> {
              if (show.at() >= backend.downUntil()) {
                up.put(index, backend.incarnation());
              }
            });
    return new WorkerEffect.Starts(show.handle(), up);
  }
}
