package dev.toucanstall.runtime.loop;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(20)
final class ControlLoopTest {

  private static final long HELD_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  private static final String TICK = "tick";

  private record Seen(String event, long waitNanos, long decisionNanos, long effectNanos) {}

  private final BlockingQueue<Seen> seen = new LinkedBlockingQueue<>();
  private final CountDownLatch held = new CountDownLatch(1);
  private final CountDownLatch let = new CountDownLatch(1);

  private ControlLoop<Integer, String, String> loop(Duration tickEvery) {
    ControlLoop<Integer, String, String> loop =
        new ControlLoop<>(
            "test",
            0,
            (state, event) -> new Decision<>(state + 1, List.of(event)),
            this::carryOut,
            (event, e) -> {},
            tickEvery,
            nanos -> TICK);
    loop.setObserver(
        (state, event, posted, begun, decided, ended) ->
            seen.add(new Seen(event, begun - posted, decided - begun, ended - decided)));
    return loop;
  }

  private void carryOut(String effect) {
    if (effect.equals("slow")) {
      held.countDown();
      awaitQuietly(let);
    }
    if (effect.equals("bad")) {
      throw new IllegalStateException("bad effect");
    }
  }

  private static void awaitQuietly(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private Seen next(String event) throws InterruptedException {
    Seen next = seen.take();
    while (!next.event().equals(event)) {
      next = seen.take();
    }
    return next;
  }

  /** Guards against an overload that no figure shows: events waited for seconds, unseen. */
  @Test
  void eventThatWaitedBehindAnotherIsReportedWithItsWait() throws InterruptedException {
    try (ControlLoop<Integer, String, String> loop = loop(Duration.ofHours(1))) {
      loop.start();
      loop.post("slow");
      held.await();
      loop.post("waits");
      Thread.sleep(TimeUnit.NANOSECONDS.toMillis(HELD_NANOS));
      assertThat(loop.backlog()).isEqualTo(1);
      let.countDown();
      assertThat(next("slow").effectNanos()).isAtLeast(HELD_NANOS);
      assertThat(next("waits").waitNanos()).isAtLeast(HELD_NANOS);
    }
  }

  /** Guards against ticks that a busy thread delays, unseen. */
  @Test
  void tickThatIsLateIsReportedWithItsDelay() throws InterruptedException {
    try (ControlLoop<Integer, String, String> loop = loop(Duration.ofMillis(1))) {
      loop.start();
      loop.post("slow");
      held.await();
      Thread.sleep(TimeUnit.NANOSECONDS.toMillis(HELD_NANOS));
      let.countDown();
      next("slow");
      assertThat(next(TICK).waitNanos()).isAtLeast(HELD_NANOS / 2);
    }
  }

  /** Guards against an effect that throws and ends the thread or hides the event. */
  @Test
  void eventWhoseEffectThrowsIsReportedAndTheNextIsTaken() throws InterruptedException {
    try (ControlLoop<Integer, String, String> loop = loop(Duration.ofHours(1))) {
      loop.start();
      loop.post("bad");
      loop.post("good");
      assertThat(next("bad").event()).isEqualTo("bad");
      assertThat(next("good").event()).isEqualTo("good");
    }
  }

  // A process that was told to stop heard it seconds later, behind all that waited.
  @Test
  void eventPostedFirstIsHandledAheadOfThoseThatWait() throws Exception {
    try (ControlLoop<Integer, String, String> loop = loop(Duration.ofHours(1))) {
      loop.start();
      loop.post("slow");
      held.await();
      loop.post("waits");
      loop.postFirst("stop");
      let.countDown();
      List<String> order = new ArrayList<>();
      while (!order.contains("waits")) {
        order.add(seen.take().event());
      }
      assertThat(order).containsAtLeast("slow", "stop", "waits").inOrder();
    }
  }
}
