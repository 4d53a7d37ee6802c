package dev.toucanstall.runtime.process;

import dev.toucanstall.runtime.loop.ControlLoop;
import dev.toucanstall.runtime.loop.Decision;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Main class of a process whose control thread or another thread fails, for a test. */
final class FailingProcess {

  /** Status with which the process ends if nothing else has ended it. */
  static final int SURVIVED = 1;

  private static final long SURVIVAL_MS = 3_000;

  private FailingProcess() {}

  /**
   * Fails, and survives that for some seconds unless the process is ended.
   *
   * @param args what fails: {@code decision}, {@code effect}, {@code handler} or {@code thread}
   */
  public static void main(String[] args) throws InterruptedException {
    FatalErrors.install();
    if (args[0].equals("thread")) {
      Thread.ofPlatform().name("link").daemon().start(FailingProcess::runOutOfMemory);
    } else {
      loop(args[0]).start();
    }
    TimeUnit.MILLISECONDS.sleep(SURVIVAL_MS);
    Runtime.getRuntime().halt(SURVIVED);
  }

  private static ControlLoop<Integer, String, String> loop(String failing) {
    return new ControlLoop<>(
        "control",
        0,
        (state, event) -> {
          if (failing.equals("decision")) {
            runOutOfMemory();
          }
          return new Decision<>(state, List.of("effect"));
        },
        effect -> {
          if (failing.equals("effect")) {
            runOutOfMemory();
          }
          throw new IllegalStateException("bad effect");
        },
        (event, e) -> {
          throw new IllegalStateException("the handler of failures fails", e);
        },
        Duration.ofMillis(20),
        nanos -> "tick");
  }

  private static void runOutOfMemory() {
    throw new OutOfMemoryError("thrown by a test");
  }
}
