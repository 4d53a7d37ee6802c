package dev.toucanstall.testbed.bench;

import java.util.PriorityQueue;

/** Clock of a simulation, with actions scheduled on it, in milliseconds. Not thread-safe. */
final class SimulatedClock {

  private record ScheduledAction(long atMs, long number, Runnable action)
      implements Comparable<ScheduledAction> {

    @Override
    public int compareTo(ScheduledAction other) {
      return atMs == other.atMs
          ? Long.compare(number, other.number)
          : Long.compare(atMs, other.atMs);
    }
  }

  private final PriorityQueue<ScheduledAction> scheduled = new PriorityQueue<>();
  private long nowMs = 1_000_000;
  private long nextNumber;

  long nowMs() {
    return nowMs;
  }

  void schedule(long delayMs, Runnable action) {
    scheduled.add(new ScheduledAction(nowMs + delayMs, nextNumber++, action));
  }

  /** Advances the clock and runs the actions that become due, in order of their time. */
  void advance(long durationMs) {
    long until = nowMs + durationMs;
    for (ScheduledAction next = scheduled.peek();
        next != null && next.atMs() <= until;
        next = scheduled.peek()) {
      scheduled.poll();
      nowMs = Math.max(nowMs, next.atMs());
      next.action().run();
    }
    nowMs = until;
  }
}
