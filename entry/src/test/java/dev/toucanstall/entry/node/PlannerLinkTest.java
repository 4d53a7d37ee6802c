package dev.toucanstall.entry.node;

import static com.google.common.truth.Truth.assertThat;

import dev.toucanstall.core.job.JobCall;
import dev.toucanstall.core.model.Address;
import dev.toucanstall.core.node.NodeEvent;
import dev.toucanstall.core.node.NodeMessage;
import dev.toucanstall.wire.Decoded;
import dev.toucanstall.wire.job.JobCodec;
import dev.toucanstall.wire.peer.Frames;
import java.io.DataInputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

final class PlannerLinkTest {

  private static final long WAIT_SECONDS = 5;
  private static final int READ_TIMEOUT_MS = 5_000;

  /** Exceeds the capacity of a link's queue and of its socket buffers. */
  private static final int CALL_COUNT = 3_000;

  private final BlockingQueue<NodeEvent> events = new LinkedBlockingQueue<>();

  private void awaitLinkUp(Address address) throws InterruptedException {
    assertThat(events.poll(WAIT_SECONDS, TimeUnit.SECONDS))
        .isEqualTo(new NodeEvent.LinkUp(address));
  }

  @Test
  void reelectedPlannerKeepsLink() throws Exception {
    try (ServerSocket planner = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        PlannerLink link = new PlannerLink(events::add)) {
      Address address = new Address("127.0.0.1", planner.getLocalPort());
      link.follow(address);
      try (Socket accepted = planner.accept()) {
        awaitLinkUp(address);
        link.follow(address);
        awaitLinkUp(address);
        planner.setSoTimeout(300);
        Assertions.assertThrows(SocketTimeoutException.class, planner::accept);
        assertThat(accepted.isClosed()).isFalse();
      }
    }
  }

  /** Guards against a burst of calls that ends its link each time it is sent. */
  @Test
  void fullLinkStaysOpenAndReportsEachCallThatItDrops() throws Exception {
    try (ServerSocket planner = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        PlannerLink link = new PlannerLink(events::add)) {
      Address address = new Address("127.0.0.1", planner.getLocalPort());
      link.follow(address);
      try (Socket accepted = planner.accept()) {
        awaitLinkUp(address);
        for (long ticket = 1; ticket <= CALL_COUNT; ticket++) {
          link.sendCall(address, ticket, new JobCall.Count("x".repeat(8_000)));
        }
        long unsent = events.stream().filter(NodeEvent.AskUnsent.class::isInstance).count();
        assertThat(unsent).isGreaterThan(0);
        accepted.setSoTimeout(READ_TIMEOUT_MS);
        DataInputStream in = new DataInputStream(accepted.getInputStream());
        for (long sent = unsent; sent < CALL_COUNT; ) {
          byte[] frame = Frames.read(in);
          if (JobCodec.MESSAGES.decode(frame) instanceof Decoded.Value<NodeMessage> message
              && message.value() instanceof NodeMessage.Ask) {
            sent++;
          }
        }
      }
    }
  }
}
