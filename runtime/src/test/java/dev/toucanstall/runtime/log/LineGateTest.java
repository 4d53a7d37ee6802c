package dev.toucanstall.runtime.log;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class LineGateTest {

  private long nanos = 77;
  private boolean room = true;
  private final LineGate gate = new LineGate(() -> nanos, () -> room);

  private long admitted(String event, int lines) {
    return IntStream.range(0, lines).filter(i -> gate.admitsInformation(event)).count();
  }

  /** Guards against lines that are missing without a trace while an incident is examined. */
  @Test
  void linesBeyondTheBurstAreDroppedAndCountedByEvent() {
    assertThat(admitted("common", LineGate.LINES_AT_ONCE)).isEqualTo(LineGate.LINES_AT_ONCE);
    assertThat(admitted("common", 3)).isEqualTo(0);
    assertThat(admitted("rare", 2)).isEqualTo(0);
    assertThat(gate.dropped()).containsExactly("common", 3L, "rare", 2L);
    assertThat(gate.admitted()).containsExactly("common", (long) LineGate.LINES_AT_ONCE);
  }

  @Test
  void linesPassAgainAtTheRateOfTheLongRun() {
    admitted("e", LineGate.LINES_AT_ONCE);
    nanos += TimeUnit.MILLISECONDS.toNanos(100);
    assertThat(admitted("e", LineGate.LINES_AT_ONCE)).isEqualTo(LineGate.LINES_A_SECOND / 10);
    nanos += TimeUnit.MINUTES.toNanos(10);
    assertThat(admitted("e", 2 * LineGate.LINES_AT_ONCE)).isEqualTo(LineGate.LINES_AT_ONCE);
  }

  @Test
  void warningsPassBeyondTheBurst() {
    admitted("e", LineGate.LINES_AT_ONCE);
    assertThat(gate.admitsWarning("w")).isTrue();
    assertThat(gate.dropped()).isEmpty();
  }

  /** Guards against a writer that is held up and then holds up the control thread. */
  @Test
  void linesThatTheQueueHasNoRoomForAreDroppedAndCounted() {
    room = false;
    assertThat(gate.admitsInformation("e")).isFalse();
    assertThat(gate.admitsWarning("w")).isFalse();
    assertThat(gate.dropped()).containsExactly("e", 1L, "w", 1L);
  }
}
