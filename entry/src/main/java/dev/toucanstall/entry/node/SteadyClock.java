package dev.toucanstall.entry.node;

import dev.toucanstall.core.plan.Now;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Monotonic and wall clock for the times of events. Thread-safe.
 *
 * <p>The monotonic clock also counts the time for which the machine was suspended, if the operating
 * system has such a clock, so that what the store has confirmed expires meanwhile.
 */
final class SteadyClock {

  /** Monotonic time at creation; above 0, so that 0 can stand for "never". */
  private static final long ORIGIN_MS = 1_000_000;

  private final LongSupplier nanos;
  private final boolean countsSuspensions;
  private final long startNanos;

  SteadyClock() {
    this(BootTimeClock.open());
  }

  /**
   * Creates a clock.
   *
   * @param bootTimeNanos reader of a clock that counts suspensions, in nanoseconds; empty to use
   *     {@link System#nanoTime}
   */
  SteadyClock(Optional<LongSupplier> bootTimeNanos) {
    nanos = bootTimeNanos.orElse(System::nanoTime);
    countsSuspensions = bootTimeNanos.isPresent();
    startNanos = nanos.getAsLong();
  }

  /** Returns whether the monotonic clock counts the time for which the machine was suspended. */
  boolean countsSuspensions() {
    return countsSuspensions;
  }

  long steadyMs() {
    return ORIGIN_MS + TimeUnit.NANOSECONDS.toMillis(nanos.getAsLong() - startNanos);
  }

  Now now() {
    return new Now(steadyMs(), System.currentTimeMillis());
  }
}
