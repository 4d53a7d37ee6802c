package dev.toucanstall.entry.node;

import dev.toucanstall.core.plan.Now;
import java.util.concurrent.TimeUnit;

/** Monotonic and wall clock for the times of events. Thread-safe. */
final class SteadyClock {

  /** Monotonic time at creation; above 0, so that 0 can stand for "never". */
  private static final long ORIGIN_MS = 1_000_000;

  private final long startNanos = System.nanoTime();

  long steadyMs() {
    return ORIGIN_MS + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }

  Now now() {
    return new Now(steadyMs(), System.currentTimeMillis());
  }
}
