package dev.toucanstall.testbed.soak;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.RepeatedTest;

/** Tests {@link EntryProcess}. */
final class EntryProcessTest {

  private static final int PORTS = 4;

  /**
   * Guards against a soak that can't run, as an outgoing connection has taken the port of a process
   * that starts again.
   */
  @RepeatedTest(20)
  void portsAreBelowThoseOfOutgoingConnections() throws IOException {
    int first = EntryProcess.freePorts(PORTS);
    assertThat(first).isAtLeast(EntryProcess.FIRST_PORT);
    assertThat(first + PORTS).isAtMost(EntryProcess.END_PORT);
  }
}
