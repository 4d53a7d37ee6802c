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
 * Limits the rate of log lines, and counts the admitted and the dropped lines by event. Warnings,
 * errors and summaries are exempt from the rate and dropped only if the queue of the log writer is
 * full. Thread-safe and lock-free.
 */
public final class LogRateLimiter {

  /** Long-term rate of admitted lines. */
  static final int LINES_PER_SECOND = 1_000;

  /** Number of lines admitted at once after an idle time. */
  static final int BURST_LINES = 5_000;

  private static final long NANOS_PER_LINE = TimeUnit.SECONDS.toNanos(1) / LINES_PER_SECOND;
  private static final long BURST_NANOS = BURST_LINES * NANOS_PER_LINE;

  private final LongSupplier nanoClock;
  private final BooleanSupplier queueHasCapacity;

  /**
   * Time at which the leaky bucket of admitted lines will be empty, or became so, in nanoseconds of
   * the clock.
   */
  private final AtomicLong bucketEmptyNanos;

  private final Map<String, LongAdder> admittedByEvent = new ConcurrentHashMap<>();
  private final Map<String, LongAdder> droppedByEvent = new ConcurrentHashMap<>();

  /**
   * Creates a limiter.
   *
   * @param nanoClock returns the time in nanoseconds, as {@link System#nanoTime} does
   * @param queueHasCapacity returns whether the queue of the log writer has free capacity
   */
  LogRateLimiter(LongSupplier nanoClock, BooleanSupplier queueHasCapacity) {
    this.nanoClock = nanoClock;
    this.queueHasCapacity = queueHasCapacity;
    this.bucketEmptyNanos = new AtomicLong(nanoClock.getAsLong());
  }

  /** Counts a line that is subject to the rate; returns false if the line must be dropped. */
  boolean admitLimited(String event) {
    if (!tryAcquire()) {
      return countDropped(event);
    }
    return admitUnlimited(event);
  }

  /** Counts a line that is exempt from the rate; returns false if the line must be dropped. */
  boolean admitUnlimited(String event) {
    if (!queueHasCapacity.getAsBoolean()) {
      return countDropped(event);
    }
    admittedByEvent.computeIfAbsent(event, e -> new LongAdder()).increment();
    return true;
  }

  private boolean tryAcquire() {
    long now = nanoClock.getAsLong();
    while (true) {
      long emptyAt = bucketEmptyNanos.get();
      long start = emptyAt - now < 0 ? now : emptyAt;
      if (start + NANOS_PER_LINE - now > BURST_NANOS) {
        return false;
      }
      if (bucketEmptyNanos.compareAndSet(emptyAt, start + NANOS_PER_LINE)) {
        return true;
      }
    }
  }

  private boolean countDropped(String event) {
    droppedByEvent.computeIfAbsent(event, e -> new LongAdder()).increment();
    return false;
  }

  /**
   * Returns the number of lines dropped since the start of the process, by event.
   *
   * @return the counts sorted by event, without events of which none was dropped
   */
  public Map<String, Long> droppedByEvent() {
    return sums(droppedByEvent);
  }

  /**
   * Returns the number of lines admitted since the start of the process, by event.
   *
   * @return the counts sorted by event, without events of which none was admitted
   */
  public Map<String, Long> admittedByEvent() {
    return sums(admittedByEvent);
  }

  private static Map<String, Long> sums(Map<String, LongAdder> adders) {
    Map<String, Long> sums = new TreeMap<>();
    adders.forEach((event, adder) -> sums.put(event, adder.sum()));
    return sums;
  }
}
