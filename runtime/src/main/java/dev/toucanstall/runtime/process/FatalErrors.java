package dev.toucanstall.runtime.process;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.IntConsumer;

/**
 * Ends the process when a thread ends by an error, such as a lack of memory. What the thread owned
 * is lost then, while the rest of the process would go on as a member that decides nothing.
 * Thread-safe.
 */
public final class FatalErrors implements Thread.UncaughtExceptionHandler {

  /** Exit status of a process that ends by an error. */
  public static final int EXIT_STATUS = 70;

  private final IntConsumer halt;
  private final AtomicBoolean ending = new AtomicBoolean();

  FatalErrors(IntConsumer halt) {
    this.halt = halt;
  }

  /** Has the process end with {@link #EXIT_STATUS} when any of its threads ends by an error. */
  public static void install() {
    Thread.setDefaultUncaughtExceptionHandler(new FatalErrors(Runtime.getRuntime()::halt));
  }

  /**
   * Writes one line on what a thread has thrown, and ends the process if that is an {@link Error}.
   * The line goes straight to the standard error stream, as the log may wait for memory or for the
   * thread that has ended.
   */
  @Override
  public void uncaughtException(Thread thread, Throwable thrown) {
    boolean fatal = thrown instanceof Error;
    if (fatal && !ending.compareAndSet(false, true)) {
      return;
    }
    try {
      System.err.println(
          "{\"event\":\"%s\",\"thread\":\"%s\",\"why\":\"%s\"}"
              .formatted(
                  fatal ? "process-failed" : "thread-failed",
                  thread.getName(),
                  thrown.toString().replaceAll("[^ -~]|[\"\\\\]", " ")));
    } finally {
      if (fatal) {
        halt.accept(EXIT_STATUS);
      }
    }
  }
}
