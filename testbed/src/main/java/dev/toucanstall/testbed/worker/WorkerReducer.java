package dev.toucanstall.testbed.worker;

import dev.toucanstall.runtime.loop.Decision;
import dev.toucanstall.testbed.worker.WorkerState.Backend;
import java.time.Duration;
import java.util.Objects;
import java.util.TreeMap;
import org.pcollections.HashPMap;
import org.pcollections.TreePMap;

/** Reducer of the stand-ins for backend servers. Pure. */
final class WorkerReducer {

  private static final long RESTART_DURATION_NANOS = Duration.ofMillis(500).toNanos();

  private WorkerReducer() {}

  static Decision<WorkerState, WorkerEffect> reduce(WorkerState state, WorkerEvent event) {
    return switch (event) {
      case WorkerEvent.Tick tick -> Decision.of(state);
      case WorkerEvent.RequestArrived arrived -> arrived(state, arrived);
      case WorkerEvent.RequestEnded ended -> ended(state, ended);
      case WorkerEvent.SetFault set ->
          Decision.of(
              state.withBackend(set.server(), backend(state, set.server()).withFault(set.fault())),
              new WorkerEffect.Acknowledged(set.handle()));
      case WorkerEvent.Restart restart -> restart(state, restart);
      case WorkerEvent.ShowLedger show -> Decision.of(state, ledger(state, show.handle()));
      case WorkerEvent.ShowIncarnations show -> Decision.of(state, incarnations(state, show));
    };
  }

  private static Backend backend(WorkerState state, int server) {
    return Objects.requireNonNullElse(state.servers().get(server), Backend.INITIAL);
  }

  private static Decision<WorkerState, WorkerEffect> arrived(
      WorkerState state, WorkerEvent.RequestArrived arrived) {
    Backend backend = backend(state, arrived.server());
    if (arrived.at() < backend.downUntil()) {
      return Decision.of(
          state, new WorkerEffect.Admission(arrived.handle(), false, backend.fault()));
    }
    String team = arrived.team();
    int running = Objects.requireNonNullElse(state.runningByTeam().get(team), 0) + 1;
    int maxRunning =
        Math.max(running, Objects.requireNonNullElse(state.maxRunningByTeam().get(team), 0));
    WorkerState next =
        new WorkerState(
            state.servers().plus(arrived.server(), backend.plusRunning()),
            state.completions(),
            state.maxRunningByTeam().plus(team, maxRunning),
            state.runningByTeam().plus(team, running));
    return Decision.of(next, new WorkerEffect.Admission(arrived.handle(), true, backend.fault()));
  }

  private static Decision<WorkerState, WorkerEffect> ended(
      WorkerState state, WorkerEvent.RequestEnded ended) {
    HashPMap<String, Integer> completions = state.completions();
    if (!ended.requestId().isEmpty()) {
      int before = Objects.requireNonNullElse(completions.get(ended.requestId()), 0);
      completions = completions.plus(ended.requestId(), before + 1);
    }
    TreePMap<String, Integer> runningByTeam = state.runningByTeam();
    int running = Objects.requireNonNullElse(runningByTeam.get(ended.team()), 1) - 1;
    return Decision.of(
        new WorkerState(
            state.servers().plus(ended.server(), backend(state, ended.server()).minusRunning()),
            completions,
            state.maxRunningByTeam(),
            runningByTeam.plus(ended.team(), running)));
  }

  private static Decision<WorkerState, WorkerEffect> restart(
      WorkerState state, WorkerEvent.Restart restart) {
    Backend backend = backend(state, restart.server());
    WorkerEffect done = new WorkerEffect.Acknowledged(restart.handle());
    return restart.at() < backend.downUntil()
        ? Decision.of(state, done)
        : Decision.of(
            state.withBackend(
                restart.server(), backend.restarted(restart.at() + RESTART_DURATION_NANOS)),
            done);
  }

  private static WorkerEffect ledger(WorkerState state, long handle) {
    return new WorkerEffect.Ledger(
        handle,
        state.servers().values().stream().mapToLong(Backend::started).sum(),
        state.servers().values().stream().mapToLong(Backend::completed).sum(),
        state.completions().values().stream().filter(count -> count > 1).count(),
        state.servers().values().stream().mapToLong(Backend::interruptedByRestart).sum(),
        state.servers().values().stream().mapToInt(Backend::maxRunning).max().orElse(0),
        new TreeMap<>(state.maxRunningByTeam()));
  }

  private static WorkerEffect incarnations(WorkerState state, WorkerEvent.ShowIncarnations show) {
    TreeMap<Integer, Long> byServer = new TreeMap<>();
    state
        .servers()
        .forEach(
            (index, backend) -> {
              if (show.at() >= backend.downUntil()) {
                byServer.put(index, backend.incarnation());
              }
            });
    return new WorkerEffect.Incarnations(show.handle(), byServer);
  }
}
