package dev.toucanstall.runtime.log;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class LogRateLimiterTest {

  private long nowNanos = 77;
  private boolean queueHasCapacity = true;
  private final LogRateLimiter limiter = new LogRateLimiter(() -> nowNanos, () -> queueHasCapacity);

  private long countAdmitted(String event, int lineCount) {
    return IntStream.range(0, lineCount).filter(i -> limiter.admitLimited(event)).count();
  }

  /** Guards against lines that are dropped without a count, which misleads an investigation. */
  @Test
  void linesBeyondTheBurstAreDroppedAndCountedByEvent() {
    assertThat(countAdmitted("common", LogRateLimiter.BURST_LINES))
        .isEqualTo(LogRateLimiter.BURST_LINES);
    assertThat(countAdmitted("common", 3)).isEqualTo(0);
    assertThat(countAdmitted("rare", 2)).isEqualTo(0);
    assertThat(limiter.droppedByEvent()).containsExactly("common", 3L, "rare", 2L);
    assertThat(limiter.admittedByEvent())
        .containsExactly("common", (long) LogRateLimiter.BURST_LINES);
  }

  @Test
  void linesAreAdmittedAgainAtTheLongTermRate() {
    countAdmitted("e", LogRateLimiter.BURST_LINES);
    nowNanos += TimeUnit.MILLISECONDS.toNanos(100);
    assertThat(countAdmitted("e", LogRateLimiter.BURST_LINES))
        .isEqualTo(LogRateLimiter.LINES_PER_SECOND / 10);
    nowNanos += TimeUnit.MINUTES.toNanos(10);
    assertThat(countAdmitted("e", 2 * LogRateLimiter.BURST_LINES))
        .isEqualTo(LogRateLimiter.BURST_LINES);
  }

  @Test
  void unlimitedLinesAreAdmittedBeyondTheBurst() {
    countAdmitted("e", LogRateLimiter.BURST_LINES);
    assertThat(limiter.admitUnlimited("w")).isTrue();
    assertThat(limiter.droppedByEvent()).isEmpty();
  }

  /** Guards against a stalled log writer that blocks the control thread. */
  @Test
  void linesAreDroppedAndCountedWhileTheQueueIsFull() {
    queueHasCapacity = false;
    assertThat(limiter.admitLimited("e")).isFalse();
    assertThat(limiter.admitUnlimited("w")).isFalse();
    assertThat(limiter.droppedByEvent()).containsExactly("e", 1L, "w", 1L);
  }
}
