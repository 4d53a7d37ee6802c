package dev.toucanstall.runtime.loop;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;

/** Processor times of threads. Stateless and thread-safe. */
final class ThreadTimes {

  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

  private ThreadTimes() {}

  /** Returns the processor time of the calling thread in nanoseconds, -1 if it is not measured. */
  static long currentCpuNanos() {
    return THREADS.isCurrentThreadCpuTimeSupported() ? THREADS.getCurrentThreadCpuTime() : -1;
  }
}
