package dev.toucanstall.entry.node;

import dev.toucanstall.core.model.Address;
import dev.toucanstall.core.node.NodeEvent;
import dev.toucanstall.core.node.NodeMessage;
import dev.toucanstall.runtime.link.FrameLink;
import dev.toucanstall.runtime.log.LogLine;
import dev.toucanstall.wire.Decoded;
import dev.toucanstall.wire.job.JobCodec;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Takes the calls of other entry instances. Thread-safe; sending never blocks. */
final class PlannerServer implements AutoCloseable {

  private static final Logger LOG = LogManager.getLogger(PlannerServer.class);

  /** A link on which nothing comes for this long is given up, in milliseconds. */
  private static final int SILENT_MILLIS = 5_000;

  private final ServerSocket server = new ServerSocket();
  private final Consumer<NodeEvent> events;
  private final Map<Long, FrameLink> links = new ConcurrentHashMap<>();
  private final AtomicLong numbers = new AtomicLong();
  private volatile boolean closed;

  PlannerServer(Address address, Consumer<NodeEvent> events) throws IOException {
    this.events = events;
    server.setReuseAddress(true);
    server.bind(new InetSocketAddress(address.host(), address.port()));
    Thread.ofPlatform().name("planner-accept").daemon().start(this::accept);
  }

  private void accept() {
    while (!closed) {
      try {
        Socket socket = server.accept();
        Thread.ofPlatform().name("planner-link").daemon().start(() -> serve(socket));
      } catch (IOException e) {
        if (!closed) {
          LogLine.of("link-accept-failed").with("why", e).warn(LOG);
        }
      }
    }
  }

  private void serve(Socket socket) {
    long number = numbers.incrementAndGet();
    try (socket) {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(SILENT_MILLIS);
      FrameLink link = new FrameLink(socket);
      links.put(number, link);
      LogLine.of("link-taken")
          .with("link", number)
          .with("from", socket.getRemoteSocketAddress())
          .info(LOG);
      link.run(frame -> receive(number, frame));
    } catch (IOException e) {
      LogLine.of("link-failed").with("why", e).warn(LOG);
    } finally {
      links.remove(number);
    }
  }

  private void receive(long number, byte[] frame) throws IOException {
    switch (JobCodec.MESSAGES.decode(frame)) {
      case Decoded.Value<NodeMessage> value -> receive(number, value.value());
      case Decoded.Malformed<NodeMessage> malformed -> throw new IOException(malformed.reason());
    }
  }

  private void receive(long number, NodeMessage message) {
    switch (message) {
      case NodeMessage.Ask ask ->
          events.accept(new NodeEvent.PeerAsked(number, ask.number(), ask.call()));
      case NodeMessage.Ping ping -> {
        send(number, new NodeMessage.Alive());
        events.accept(new NodeEvent.PeerPinged(number, ping.cores()));
      }
      case NodeMessage.Alive alive -> LogLine.of("reply-unexpected").warn(LOG);
      case NodeMessage.Pong pong -> LogLine.of("pong-unexpected").warn(LOG);
      case NodeMessage.Reply reply ->
          LogLine.of("reply-unexpected").with("number", reply.number()).warn(LOG);
      case NodeMessage.NotPlanner notPlanner ->
          LogLine.of("reply-unexpected").with("number", notPlanner.number()).warn(LOG);
    }
  }

  /**
   * Sends a message; it is dropped if the link has ended, and its other end asks again. So a link
   * that does not take a message ends.
   */
  void send(long number, NodeMessage message) {
    FrameLink link = links.get(number);
    if (link == null) {
      LogLine.of("message-dropped")
          .with("link", number)
          .with("message", message.getClass().getSimpleName())
          .with("number", number(message))
          .info(LOG);
    } else if (!link.offer(JobCodec.MESSAGES.encode(message))) {
      LogLine.of("link-full")
          .with("link", number)
          .with("message", message.getClass().getSimpleName())
          .with("number", number(message))
          .warn(LOG);
      link.close();
    }
  }

  /** Returns the number under which the call was asked, as {@code call-expired} there has it. */
  private static String number(NodeMessage message) {
    return switch (message) {
      case NodeMessage.Reply reply -> Long.toString(reply.number());
      case NodeMessage.NotPlanner declined -> Long.toString(declined.number());
      case NodeMessage.Ask ask -> Long.toString(ask.number());
      case NodeMessage.Ping ping -> "";
      case NodeMessage.Alive alive -> "";
      case NodeMessage.Pong pong -> "";
    };
  }

  @Override
  public void close() throws IOException {
    closed = true;
    links.values().forEach(FrameLink::close);
    server.close();
  }
}
