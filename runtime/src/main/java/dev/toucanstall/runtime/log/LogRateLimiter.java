package dev.toucanstall.runtime.log;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Bounds the lines that are written, and counts them and those that are not, by event. Warnings,
 * errors and summaries count against the room of the queue only. Thread-safe, without locks.
 */
public final class LogRateLimiter {

  /** Lines a second that pass in the long run. */
  static final int LINES_A_SECOND = 1_000;

  /** Lines that pass at once. */
  static final int LINES_AT_ONCE = 5_000;

  private static final long NANOS_A_LINE = TimeUnit.SECONDS.toNanos(1) / LINES_A_SECOND;
  private static final long AT_ONCE_NANOS = LINES_AT_ONCE * NANOS_A_LINE;

  private final LongSupplier nanos;
  private final BooleanSupplier room;

  /** When all lines that passed are paid for at the rate of the long run. */
  private final AtomicLong paidNanos;

  private final Map<String, LongAdder> admittedByEvent = new ConcurrentHashMap<>();
  private final Map<String, LongAdder> droppedByEvent = new ConcurrentHashMap<>();

  /**
   * Creates a gate.
   *
   * @param nanos tells the time in nanoseconds
   * @param room tells whether the writer's queue has room
   */
  LogRateLimiter(LongSupplier nanos, BooleanSupplier room) {
    this.nanos = nanos;
    this.room = room;
    this.paidNanos = new AtomicLong(nanos.getAsLong());
  }

  /**
   * Tells whether a line of information may be written; if not, it is counted as dropped.
   *
   * @param event its event
   * @return whether it may
   */
  boolean admitsInformation(String event) {
    if (!pays()) {
      return drop(event);
    }
    return admitsWarning(event);
  }

  /**
   * Tells whether a warning, error or summary may be written; if not, it is counted as dropped.
   *
   * @param event its event
   * @return whether it may
   */
  boolean admitsWarning(String event) {
    if (!room.getAsBoolean()) {
      return drop(event);
    }
    admittedByEvent.computeIfAbsent(event, e -> new LongAdder()).increment();
    return true;
  }

  private boolean pays() {
    long now = nanos.getAsLong();
    while (true) {
      long paid = paidNanos.get();
      long begin = paid - now < 0 ? now : paid;
      if (begin + NANOS_A_LINE - now > AT_ONCE_NANOS) {
        return false;
      }
      if (paidNanos.compareAndSet(paid, begin + NANOS_A_LINE)) {
        return true;
      }
    }
  }

  private boolean drop(String event) {
    droppedByEvent.computeIfAbsent(event, e -> new LongAdder()).increment();
    return false;
  }

  /**
   * Returns how many lines were dropped since the start, by event.
   *
   * @return the counts of the events of which any was dropped, sorted by event
   */
  public Map<String, Long> droppedByEvent() {
    return counts(droppedByEvent);
  }

  /**
   * Returns how many lines passed since the start, by event.
   *
   * @return the counts of the events of which any passed, sorted by event
   */
  public Map<String, Long> admittedByEvent() {
    return counts(admittedByEvent);
  }

  private static Map<String, Long> counts(Map<String, LongAdder> adders) {
    Map<String, Long> counts = new TreeMap<>();
    adders.forEach((event, count) -> counts.put(event, count.sum()));
    return counts;
  }
}
