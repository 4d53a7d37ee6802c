package dev.toucanstall.entry.traffic;

import dev.toucanstall.core.effect.Effect;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** The requests whose threads wait for decisions, by number. Thread-safe. */
public final class Exchanges {

  private final Map<Long, Exchange> waiting = new ConcurrentHashMap<>();
  private final AtomicLong lastNumber = new AtomicLong();

  /** Opens an exchange under a new number. */
  long open(Exchange exchange) {
    long number = lastNumber.incrementAndGet();
    waiting.put(number, exchange);
    return number;
  }

  /** Closes an exchange. */
  void close(long number) {
    waiting.remove(number);
  }

  /**
   * Hands a decision to the thread of a request; one that has ended meanwhile misses nothing.
   *
   * @param number the request's number
   * @param decision the decision
   */
  public void put(long number, Effect decision) {
    Exchange exchange = waiting.get(number);
    if (exchange != null) {
      exchange.put(decision);
    }
  }

  /**
   * Returns how many requests are held.
   *
   * @return the number
   */
  public int size() {
    return waiting.size();
  }
}
