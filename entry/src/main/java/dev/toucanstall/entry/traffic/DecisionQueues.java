package dev.toucanstall.entry.traffic;

import dev.toucanstall.core.effect.Effect;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** The decision queues of the requests in progress, by request number. Thread-safe. */
public final class DecisionQueues {

  private final Map<Long, DecisionQueue> queuesByNumber = new ConcurrentHashMap<>();
  private final AtomicLong lastNumber = new AtomicLong();

  /** Registers a queue and returns the new number of its request. */
  long open(DecisionQueue queue) {
    long number = lastNumber.incrementAndGet();
    queuesByNumber.put(number, queue);
    return number;
  }

  /** Removes the queue of a request that has ended; unknown numbers are ignored. */
  void close(long number) {
    queuesByNumber.remove(number);
  }

  /**
   * Queues a decision for the thread of a request; dropped if the request has ended.
   *
   * @param number number of the request
   * @param decision the decision
   */
  public void put(long number, Effect decision) {
    DecisionQueue queue = queuesByNumber.get(number);
    if (queue != null) {
      queue.put(decision);
    }
  }

  /**
   * Returns the number of requests in progress.
   *
   * @return the number of requests
   */
  public int size() {
    return queuesByNumber.size();
  }
}
