package dev.toucanstall.testbed.load;

import dev.toucanstall.runtime.loop.Decision;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Decides when requests are sent: open loop, with exponential gaps from a seed. Pure. */
final class LoadReducer {

  private static final double NANOS = Duration.ofSeconds(1).toNanos();

  private final long seed;

  LoadReducer(long seed) {
    this.seed = seed;
  }

  Decision<LoadState, LoadEffect> reduce(LoadState state, LoadEvent event) {
    return switch (event) {
      case LoadEvent.Tick tick -> tick(state, tick.at());
      case LoadEvent.Finished finished -> Decision.of(state.finished());
    };
  }

  private Decision<LoadState, LoadEffect> tick(LoadState state, long now) {
    if (state.isDone(now)) {
      return Decision.of(state, new LoadEffect.End());
    }
    LoadState next = state;
    List<LoadEffect> effects = new ArrayList<>();
    for (int i = 0; i < state.streams().size(); i++) {
      long due = next.nextAt().getOrDefault(i, now);
      while (due <= now && due < state.endsAt()) {
        effects.add(new LoadEffect.Fire(i, next.sent(), due));
        due += gap(next, i, due);
        next = next.sent(i, due);
      }
    }
    return new Decision<>(next, effects);
  }

  private long gap(LoadState state, int stream, long due) {
    double factor = state.phases().factor(stream, state.streams().size(), due - state.startedAt());
    double rate = state.streams().get(stream).rate() * factor;
    double random = new SplittableRandom(seed * 1_000_003 + state.sent()).nextDouble();
    return Math.max(1, (long) (-Math.log(1 - random) / rate * NANOS));
  }
}
