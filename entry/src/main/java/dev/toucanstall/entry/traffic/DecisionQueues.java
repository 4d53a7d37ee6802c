package dev.toucanstall.entry.traffic;

import dev.toucanstall.core.effect.Effect;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** The requests whose threads wait for decisions, by number. Thread-safe. */
public final class DecisionQueues {

  private final Map<Long, DecisionQueue> queuesByNumber = new ConcurrentHashMap<>();
  private final AtomicLong lastNumber = new AtomicLong();

  /** Opens an exchange under a new number. */
  long open(DecisionQueue queue) {
    long number = lastNumber.incrementAndGet();
    queuesByNumber.put(number, queue);
    return number;
  }

  /** Closes an exchange. */
  void close(long number) {
    queuesByNumber.remove(number);
  }

  /**
   * Hands a decision to the thread of a request; one that has ended meanwhile misses nothing.
   *
   * @param number the request's number
   * @param decision the decision
   */
  public void put(long number, Effect decision) {
    DecisionQueue queue = queuesByNumber.get(number);
    if (queue != null) {
      queue.put(decision);
    }
  }

  /**
   * Returns how many requests are held.
   *
   * @return the number
   */
  public int size() {
    return queuesByNumber.size();
  }
}
