package dev.toucanstall.testbed.deploy;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests {@code deploy/build-image} with the JDK that runs the tests. */
@Timeout(120)
final class RuntimeImageTest {

  private static final Path SCRIPT = Path.of("..", "deploy", "build-image");

  /** Program of an image that can't run on this machine. */
  private static final String FOREIGN_PROGRAM = "#!/bin/sh\nexit 126\n";

  @TempDir Path folder;

  private static int run(String... command) throws IOException, InterruptedException {
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    Map<String, String> environment = builder.environment();
    environment.put("JAVA_HOME", System.getProperty("java.home"));
    Process process = builder.redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
    return process.waitFor();
  }

  private Path java() {
    return folder.resolve("image").resolve("bin").resolve("java");
  }

  private int buildImage() throws IOException, InterruptedException {
    return run(SCRIPT.toString(), folder.toString());
  }

  /**
   * Guards against a build that keeps a runtime image which was carried over from another kind of
   * machine, so that no entry instance starts.
   */
  @Test
  void imageOfAnotherMachineIsReplacedAndThatOfThisOneKept()
      throws IOException, InterruptedException {
    Files.createDirectories(java().getParent());
    Files.writeString(java(), FOREIGN_PROGRAM);
    assertThat(java().toFile().setExecutable(true)).isTrue();
    assertThat(buildImage()).isEqualTo(0);
    assertThat(run(java().toString(), "-version")).isEqualTo(0);
    FileTime built = Files.getLastModifiedTime(java());
    assertThat(buildImage()).isEqualTo(0);
    assertThat(Files.getLastModifiedTime(java())).isEqualTo(built);
  }
}
