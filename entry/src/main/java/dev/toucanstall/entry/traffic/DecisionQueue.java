package dev.toucanstall.entry.traffic;

import dev.toucanstall.core.effect.Effect;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Where the thread of a request waits for the decisions about it. Thread-safe: the control thread
 * puts, the request's thread takes.
 */
final class DecisionQueue {

  private final BlockingQueue<Effect> decisions = new LinkedBlockingQueue<>();

  /** Hands a decision to the request's thread. */
  void put(Effect decision) {
    decisions.add(decision);
  }

  /** Waits for the next decision until a time; returns null if none came. */
  @Nullable Effect await(long deadline) throws InterruptedException {
    return decisions.poll(deadline - System.nanoTime(), TimeUnit.NANOSECONDS);
  }
}
