package dev.toucanstall.entry.traffic;

import dev.toucanstall.core.effect.Effect;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * The queue through which the control thread passes the decisions about one request to the thread
 * of the request. Thread-safe.
 */
final class DecisionQueue {

  private final BlockingQueue<Effect> decisions = new LinkedBlockingQueue<>();

  void put(Effect decision) {
    decisions.add(decision);
  }

  /**
   * Waits for the next decision.
   *
   * @param deadline end of the wait, in nanoseconds of {@link System#nanoTime}
   * @return the decision, null if none came by the deadline
   */
  @Nullable Effect await(long deadline) throws InterruptedException {
    return decisions.poll(deadline - System.nanoTime(), TimeUnit.NANOSECONDS);
  }
}
