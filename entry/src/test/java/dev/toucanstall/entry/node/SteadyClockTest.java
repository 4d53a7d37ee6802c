package dev.toucanstall.entry.node;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.TruthJUnit.assume;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

final class SteadyClockTest {

  /**
   * Guards against a permission of the store that outlives a suspension of the machine: a clock
   * that stands still meanwhile makes an old confirmation look recent.
   */
  @Test
  void steadyTimeCountsSuspensionOfTheMachine() {
    AtomicLong bootTimeNanos = new AtomicLong(TimeUnit.DAYS.toNanos(3));
    SteadyClock clock = new SteadyClock(Optional.of(bootTimeNanos::get));
    long sentMs = clock.steadyMs();
    bootTimeNanos.addAndGet(TimeUnit.SECONDS.toNanos(4));
    assertThat(clock.steadyMs() - sentMs).isEqualTo(4_000);
  }

  /** Guards against a fallback to a clock that stands still during suspensions on Linux. */
  @Test
  void clockThatCountsSuspensionsIsUsedOnLinux() {
    assume().that(System.getProperty("os.name")).isEqualTo("Linux");
    assertThat(new SteadyClock().countsSuspensions()).isTrue();
  }

  /** Guards against reading the clock of the operating system in a wrong unit. */
  @Test
  void steadyTimeAdvancesWithTheMonotonicClock() throws Exception {
    SteadyClock clock = new SteadyClock();
    long startNanos = System.nanoTime();
    long startMs = clock.steadyMs();
    Thread.sleep(50);
    long elapsedMs = clock.steadyMs() - startMs;
    long elapsedAtMostMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    assertThat(elapsedMs).isAtLeast(49);
    assertThat(elapsedMs).isAtMost(elapsedAtMostMs + 1);
  }
}
