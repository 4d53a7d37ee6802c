package dev.toucanstall.entry.node;

import java.lang.foreign.FunctionDescriptor;
import java.lang.foreign.Linker;
import java.lang.foreign.MemorySegment;
import java.lang.foreign.ValueLayout;
import java.lang.invoke.MethodHandle;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Clock of the operating system that counts the time since the machine started, including the time
 * for which it was suspended. Nothing sets it back. Exists on Linux with 64 bits.
 */
final class BootTimeClock {

  /** Number of the clock, the same on each processor architecture of Linux. */
  private static final int CLOCK_BOOTTIME = 7;

  /** Function of the C library that reads a clock, null where the clock does not exist. */
  private static final @Nullable MethodHandle CLOCK_GETTIME = findClockGettime();

  private BootTimeClock() {}

  /**
   * Returns a reader of the clock in nanoseconds, or empty if the clock does not exist here. The
   * reader is thread-safe.
   */
  static Optional<LongSupplier> open() {
    try {
      readNanos();
      return Optional.of(BootTimeClock::readNanos);
    } catch (IllegalStateException e) {
      return Optional.empty();
    }
  }

  private static @Nullable MethodHandle findClockGettime() {
    boolean supported =
        System.getProperty("os.name").equals("Linux") && ValueLayout.ADDRESS.byteSize() == 8;
    if (!supported) {
      return null;
    }
    try {
      Linker linker = Linker.nativeLinker();
      return linker
          .defaultLookup()
          .find("clock_gettime")
          .map(
              function ->
                  linker.downcallHandle(
                      function,
                      FunctionDescriptor.of(
                          ValueLayout.JAVA_INT, ValueLayout.JAVA_INT, ValueLayout.ADDRESS),
                      Linker.Option.critical(true)))
          .orElse(null);
    } catch (RuntimeException | LinkageError e) {
      // Without the clock a suspension is inferred from the wall clock.
      return null;
    }
  }

  /**
   * Reads the clock.
   *
   * @throws IllegalStateException if the clock can't be read
   */
  private static long readNanos() {
    MethodHandle function = CLOCK_GETTIME;
    if (function == null) {
      throw new IllegalStateException("function \"clock_gettime\" does not exist");
    }
    long[] secondsAndNanos = new long[2];
    int status;
    try {
      status = (int) function.invokeExact(CLOCK_BOOTTIME, MemorySegment.ofArray(secondsAndNanos));
    } catch (Throwable e) {
      throw new IllegalStateException("function \"clock_gettime\" failed", e);
    }
    if (status != 0) {
      throw new IllegalStateException("clock \"CLOCK_BOOTTIME\" can't be read");
    }
    return TimeUnit.SECONDS.toNanos(secondsAndNanos[0]) + secondsAndNanos[1];
  }
}
