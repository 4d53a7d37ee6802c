package dev.toucanstall.entry.node;

import static com.google.common.truth.Truth.assertThat;

import dev.toucanstall.core.model.Address;
import dev.toucanstall.core.node.NodeEvent;
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

  @Test
  void reelectedPlannerKeepsLink() throws Exception {
    BlockingQueue<NodeEvent> events = new LinkedBlockingQueue<>();
    try (ServerSocket planner = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        PlannerLink link = new PlannerLink(events::add, () -> 1)) {
      Address address = new Address("127.0.0.1", planner.getLocalPort());
      link.follow(address);
      try (Socket accepted = planner.accept()) {
        assertThat(events.poll(WAIT_SECONDS, TimeUnit.SECONDS))
            .isEqualTo(new NodeEvent.LinkUp(address));
        link.follow(address);
        assertThat(events.poll(WAIT_SECONDS, TimeUnit.SECONDS))
            .isEqualTo(new NodeEvent.LinkUp(address));
        planner.setSoTimeout(300);
        Assertions.assertThrows(SocketTimeoutException.class, planner::accept);
        assertThat(accepted.isClosed()).isFalse();
      }
    }
  }
}
