package dev.toucanstall.runtime.loop;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(20)
final class ControlLoopTest {

  private static final long BLOCKED_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  private static final String TICK = "tick";

  private record ObservedEvent(
      String event, long waitNanos, long decisionNanos, long effectNanos) {}

  private final BlockingQueue<ObservedEvent> observed = new LinkedBlockingQueue<>();
  private final List<String> carriedOut = Collections.synchronizedList(new ArrayList<>());
  private final CountDownLatch effectStarted = new CountDownLatch(1);
  private final CountDownLatch effectReleased = new CountDownLatch(1);

  private ControlLoop<Integer, String, String> loop(Duration tickInterval) {
    ControlLoop<Integer, String, String> loop =
        new ControlLoop<>(
            "test",
            0,
            (state, event) -> new Decision<>(state + 1, List.of(event.split("\\+"))),
            this::interpret,
            (event, e) -> {},
            tickInterval,
            nanos -> TICK);
    loop.setObserver(
        (state, event, posted, begun, decided, ended) ->
            observed.add(
                new ObservedEvent(event, begun - posted, decided - begun, ended - decided)));
    return loop;
  }

  private void interpret(String effect) {
    carriedOut.add(effect);
    if (effect.equals("slow")) {
      effectStarted.countDown();
      awaitQuietly(effectReleased);
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

  private ObservedEvent awaitObserved(String event) throws InterruptedException {
    ObservedEvent next = observed.take();
    while (!next.event().equals(event)) {
      next = observed.take();
    }
    return next;
  }

  /** Guards against an overload that no metric shows: events that wait in the queue for seconds. */
  @Test
  void queueingDelayOfAnEventIsObserved() throws InterruptedException {
    try (ControlLoop<Integer, String, String> loop = loop(Duration.ofHours(1))) {
      loop.start();
      loop.post("slow");
      effectStarted.await();
      loop.post("waits");
      Thread.sleep(TimeUnit.NANOSECONDS.toMillis(BLOCKED_NANOS));
      assertThat(loop.backlog()).isEqualTo(1);
      effectReleased.countDown();
      assertThat(awaitObserved("slow").effectNanos()).isAtLeast(BLOCKED_NANOS);
      assertThat(awaitObserved("waits").waitNanos()).isAtLeast(BLOCKED_NANOS);
    }
  }

  /** Guards against ticks that a busy thread delays without any metric that shows it. */
  @Test
  void tickDelayIsObserved() throws InterruptedException {
    try (ControlLoop<Integer, String, String> loop = loop(Duration.ofMillis(1))) {
      loop.start();
      loop.post("slow");
      effectStarted.await();
      Thread.sleep(TimeUnit.NANOSECONDS.toMillis(BLOCKED_NANOS));
      effectReleased.countDown();
      awaitObserved("slow");
      assertThat(awaitObserved(TICK).waitNanos()).isAtLeast(BLOCKED_NANOS / 2);
    }
  }

  /** Guards against an effect that throws and ends the thread or skips the observer. */
  @Test
  void eventWhoseEffectThrowsIsObservedAndTheLoopContinues() throws InterruptedException {
    try (ControlLoop<Integer, String, String> loop = loop(Duration.ofHours(1))) {
      loop.start();
      loop.post("bad");
      loop.post("good");
      assertThat(awaitObserved("bad").event()).isEqualTo("bad");
      assertThat(awaitObserved("good").event()).isEqualTo("good");
    }
  }

  /** Guards against an effect that throws and costs the other effects of its decision. */
  @Test
  void effectsAfterOneThatThrowsAreCarriedOut() throws InterruptedException {
    try (ControlLoop<Integer, String, String> loop = loop(Duration.ofHours(1))) {
      loop.start();
      loop.post("first+bad+bad+last");
      awaitObserved("first+bad+bad+last");
      assertThat(carriedOut).containsAtLeast("first", "bad", "bad", "last").inOrder();
    }
  }

  // A process handled the request to stop seconds late, behind all queued events.
  @Test
  void eventPostedFirstIsHandledAheadOfQueuedEvents() throws Exception {
    try (ControlLoop<Integer, String, String> loop = loop(Duration.ofHours(1))) {
      loop.start();
      loop.post("slow");
      effectStarted.await();
      loop.post("waits");
      loop.postFirst("stop");
      effectReleased.countDown();
      List<String> order = new ArrayList<>();
      while (!order.contains("waits")) {
        order.add(observed.take().event());
      }
      assertThat(order).containsAtLeast("slow", "stop", "waits").inOrder();
    }
  }
}
