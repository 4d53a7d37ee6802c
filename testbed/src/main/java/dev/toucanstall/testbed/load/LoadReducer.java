package dev.toucanstall.testbed.load;

import dev.toucanstall.runtime.loop.Decision;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Reducer of the load generator: sends requests in an open loop with exponentially distributed gaps
 * from a seed. Pure.
 */
final class LoadReducer {

  private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

  private final long seed;

  LoadReducer(long seed) {
    this.seed = seed;
  }

  Decision<LoadState, LoadEffect> reduce(LoadState state, LoadEvent event) {
    return switch (event) {
      case LoadEvent.Tick tick -> tick(state, tick.at());
      case LoadEvent.RequestFinished finished -> Decision.of(state.finished());
    };
  }

  private Decision<LoadState, LoadEffect> tick(LoadState state, long now) {
    if (state.isDone(now)) {
      return Decision.of(state, new LoadEffect.Finish());
    }
    LoadState next = state;
    List<LoadEffect> effects = new ArrayList<>();
    for (int i = 0; i < state.streams().size(); i++) {
      long due = next.nextAt().getOrDefault(i, now);
      while (due <= now && due < state.sendUntil()) {
        effects.add(new LoadEffect.SendRequest(i, next.sent(), due));
        due += randomGap(next, i, due);
        next = next.sent(i, due);
      }
    }
    return new Decision<>(next, effects);
  }

  private long randomGap(LoadState state, int stream, long due) {
    double factor =
        state.bursts().rateFactor(stream, state.streams().size(), due - state.startedAt());
    double rate = state.streams().get(stream).requestsPerSecond() * factor;
    double random = new SplittableRandom(seed * 1_000_003 + state.sent()).nextDouble();
    return Math.max(1, (long) (-Math.log(1 - random) / rate * NANOS_PER_SECOND));
  }
}
