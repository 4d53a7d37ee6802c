package dev.toucanstall.testbed.bench;

import java.util.PriorityQueue;

/** What is due when, in milliseconds that pass only when told to. Not thread-safe. */
final class VirtualTime {

  private record Due(long atMs, long number, Runnable action) implements Comparable<Due> {

    @Override
    public int compareTo(Due other) {
      return atMs == other.atMs
          ? Long.compare(number, other.number)
          : Long.compare(atMs, other.atMs);
    }
  }

  private final PriorityQueue<Due> due = new PriorityQueue<>();
  private long nowMs = 1_000_000;
  private long numbers;

  long nowMs() {
    return nowMs;
  }

  void in(long delayMs, Runnable action) {
    due.add(new Due(nowMs + delayMs, numbers++, action));
  }

  /** Lets time pass. */
  void run(long forMs) {
    long until = nowMs + forMs;
    for (Due next = due.peek(); next != null && next.atMs() <= until; next = due.peek()) {
      due.poll();
      nowMs = Math.max(nowMs, next.atMs());
      next.action().run();
    }
    nowMs = until;
  }
}
