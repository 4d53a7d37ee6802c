package dev.toucanstall.runtime.loop;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;

/** Reads the processor time of threads. Stateless and thread-safe. */
final class ThreadTimes {

  private static final ThreadMXBean THREAD_BEAN = ManagementFactory.getThreadMXBean();

  private ThreadTimes() {}

  /** Returns the processor time of the calling thread in nanoseconds, -1 if it is not measured. */
  static long currentCpuNanos() {
    return THREAD_BEAN.isCurrentThreadCpuTimeSupported()
        ? THREAD_BEAN.getCurrentThreadCpuTime()
        : -1;
  }
}
