package dev.toucanstall.runtime.process;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests what becomes of a process, a real one, of which a thread fails. */
@Timeout(60)
final class FatalErrorsTest {

  private record Outcome(int status, List<String> lines) {}

  private static Outcome run(String failing) throws IOException, InterruptedException {
    Process process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xshare:auto",
                "-cp",
                System.getProperty("java.class.path"),
                FailingProcess.class.getName(),
                failing)
            .redirectErrorStream(true)
            .start();
    byte[] output = process.getInputStream().readAllBytes();
    int status = process.waitFor();
    List<String> lines =
        new String(output, StandardCharsets.UTF_8)
            .lines()
            .filter(line -> line.contains("\"event\""))
            .toList();
    return new Outcome(status, lines);
  }

  /**
   * Guards against a process that stays a member and decides nothing: its control thread or the
   * thread of a link ends by an error.
   */
  @ParameterizedTest
  @ValueSource(strings = {"decision", "effect", "handler", "thread"})
  void errorOfThreadEndsProcess(String failing) throws IOException, InterruptedException {
    Outcome outcome = run(failing);
    assertThat(outcome.status()).isEqualTo(FatalErrors.EXIT_STATUS);
    assertThat(outcome.lines()).hasSize(1);
    assertThat(outcome.lines().getFirst()).contains("\"event\":\"process-failed\"");
  }

  /** Guards against a process that one failed thread takes down although the others can go on. */
  @Test
  void exceptionOfOtherThreadEndsNoProcess() {
    FatalErrors errors =
        new FatalErrors(
            status -> {
              throw new AssertionError("the process was ended");
            });
    errors.uncaughtException(Thread.currentThread(), new IllegalStateException("bad message"));
  }
}
