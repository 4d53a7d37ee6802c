package dev.toucanstall.entry.node;

import static com.google.common.truth.Truth.assertThat;

import dev.toucanstall.core.job.JobCall;
import dev.toucanstall.core.model.Address;
import dev.toucanstall.core.node.NodeEvent;
import dev.toucanstall.core.node.NodeMessage;
import dev.toucanstall.wire.Decoded;
import dev.toucanstall.wire.job.JobCodec;
import dev.toucanstall.wire.peer.Frames;
import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
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

  /** Reads the messages that arrive until none comes for the read timeout. */
  private static List<NodeMessage> readMessages(Socket socket) throws IOException {
    DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
    List<NodeMessage> messages = new ArrayList<>();
    try {
      while (true) {
        Decoded<NodeMessage> decoded = JobCodec.MESSAGES.decode(Frames.read(in));
        messages.add(((Decoded.Value<NodeMessage>) decoded).value());
      }
    } catch (SocketTimeoutException e) {
      return messages;
    }
  }

  /**
   * Guards against a dropped message of which neither end learns, and against the loss of others.
   */
  @Test
  void fullLinkStaysOpenAndReportsEachMessageThatItDrops() throws Exception {
    Address address = freeAddress();
    try (PlannerServer server = new PlannerServer(address, events::add);
        Socket socket = connect(address)) {
      long linkNumber = awaitLinkNumber(socket);
      List<Long> sent = new ArrayList<>();
      for (long number = 1; number <= MESSAGE_COUNT; number++) {
        if (server.send(linkNumber, new NodeMessage.Ask(number, new JobCall.Count(LONG_TEXT)))) {
          sent.add(number);
        }
      }
      assertThat(sent.size()).isLessThan(MESSAGE_COUNT);
      List<Long> received =
          readMessages(socket).stream()
              .filter(NodeMessage.Ask.class::isInstance)
              .map(message -> ((NodeMessage.Ask) message).number())
              .toList();
      assertThat(received).isEqualTo(sent);
      assertThat(awaitLinkNumber(socket)).isEqualTo(linkNumber);
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
