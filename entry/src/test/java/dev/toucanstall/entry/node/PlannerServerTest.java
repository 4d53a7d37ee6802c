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
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class PlannerServerTest {

  private static final long WAIT_SECONDS = 5;

  /** Shorter than the timeout after which the server closes a link that receives nothing. */
  private static final int READ_TIMEOUT_MS = 2_000;

  /** Exceeds the capacity of a link's queue and of its socket buffers. */
  private static final int MESSAGE_COUNT = 3_000;

  private static final String LONG_TEXT = "x".repeat(8_000);

  private final BlockingQueue<NodeEvent> events = new LinkedBlockingQueue<>();

  private static Address freeAddress() {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new Address("127.0.0.1", socket.getLocalPort());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static Socket connect(Address address) throws IOException {
    Socket socket = new Socket(address.host(), address.port());
    socket.setSoTimeout(READ_TIMEOUT_MS);
    return socket;
  }

  private static void ping(Socket socket) throws IOException {
    DataOutputStream out = new DataOutputStream(socket.getOutputStream());
    Frames.write(out, JobCodec.MESSAGES.encode(new NodeMessage.Ping(1)));
  }

  private long awaitLinkNumber(Socket socket) throws Exception {
    ping(socket);
    NodeEvent event = events.poll(WAIT_SECONDS, TimeUnit.SECONDS);
    assertThat(event).isInstanceOf(NodeEvent.PeerPinged.class);
    return ((NodeEvent.PeerPinged) event).link();
  }

  private static boolean isClosedByServer(Socket socket) throws IOException {
    byte[] bytes = new byte[1 << 16];
    try {
      while (socket.getInputStream().read(bytes) >= 0) {
        // Reads until the server closes the link.
      }
      return true;
    } catch (SocketTimeoutException e) {
      return false;
    } catch (SocketException e) {
      return true;
    }
  }

  /** Guards against a dropped answer on a link that stays up, as its call is not repeated. */
  @Test
  void linkWithFullQueueIsClosed() throws Exception {
    Address address = freeAddress();
    try (PlannerServer server = new PlannerServer(address, events::add);
        Socket socket = connect(address)) {
      long linkNumber = awaitLinkNumber(socket);
      NodeMessage large = new NodeMessage.Ask(1, new JobCall.Count(LONG_TEXT));
      for (int i = 0; i < MESSAGE_COUNT; i++) {
        server.send(linkNumber, large);
      }
      assertThat(isClosedByServer(socket)).isTrue();
    }
  }

  /** Guards against links that time out, with all calls repeated, while a decision takes long. */
  @Test
  void pingIsAnsweredWithoutControlThread() throws Exception {
    Address address = freeAddress();
    try (PlannerServer server = new PlannerServer(address, events::add);
        Socket socket = connect(address)) {
      awaitLinkNumber(socket);
      byte[] frame = Frames.read(new DataInputStream(socket.getInputStream()));
      assertThat(JobCodec.MESSAGES.decode(frame))
          .isEqualTo(new Decoded.Value<>(new NodeMessage.Alive()));
    }
  }
}
