package dev.toucanstall.runtime.log;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class LogRateLimiterTest {

  private long nanos = 77;
  private boolean room = true;
  private final LogRateLimiter gate = new LogRateLimiter(() -> nanos, () -> room);

  private long admitted(String event, int lines) {
    return IntStream.range(0, lines).filter(i -> gate.admitsInformation(event)).count();
  }

  /** Guards against lines that are missing without a trace while an incident is examined. */
  @Test
  void linesBeyondTheBurstAreDroppedAndCountedByEvent() {
    assertThat(admitted("common", LogRateLimiter.LINES_AT_ONCE))
        .isEqualTo(LogRateLimiter.LINES_AT_ONCE);
    assertThat(admitted("common", 3)).isEqualTo(0);
    assertThat(admitted("rare", 2)).isEqualTo(0);
    assertThat(gate.droppedByEvent()).containsExactly("common", 3L, "rare", 2L);
    assertThat(gate.admittedByEvent())
        .containsExactly("common", (long) LogRateLimiter.LINES_AT_ONCE);
  }

  @Test
  void linesPassAgainAtTheRateOfTheLongRun() {
    admitted("e", LogRateLimiter.LINES_AT_ONCE);
    nanos += TimeUnit.MILLISECONDS.toNanos(100);
    assertThat(admitted("e", LogRateLimiter.LINES_AT_ONCE))
        .isEqualTo(LogRateLimiter.LINES_A_SECOND / 10);
    nanos += TimeUnit.MINUTES.toNanos(10);
    assertThat(admitted("e", 2 * LogRateLimiter.LINES_AT_ONCE))
        .isEqualTo(LogRateLimiter.LINES_AT_ONCE);
  }

  @Test
  void warningsPassBeyondTheBurst() {
    admitted("e", LogRateLimiter.LINES_AT_ONCE);
    assertThat(gate.admitsWarning("w")).isTrue();
    assertThat(gate.droppedByEvent()).isEmpty();
  }

  /** Guards against a writer that is held up and then holds up the control thread. */
  @Test
  void linesThatTheQueueHasNoRoomForAreDroppedAndCounted() {
    room = false;
    assertThat(gate.admitsInformation("e")).isFalse();
    assertThat(gate.admitsWarning("w")).isFalse();
    assertThat(gate.droppedByEvent()).containsExactly("e", 1L, "w", 1L);
  }
}
