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

/** Accepts links and calls of other entry instances. Thread-safe; sending never blocks. */
final class PlannerServer implements AutoCloseable {

  private static final Logger LOG = LogManager.getLogger(PlannerServer.class);

  /** Time without received data after which a link is closed. */
  private static final int READ_TIMEOUT_MILLIS = 5_000;

  private final ServerSocket serverSocket = new ServerSocket();
  private final Consumer<NodeEvent> events;
  private final Map<Long, FrameLink> linksByNumber = new ConcurrentHashMap<>();
  private final AtomicLong lastLinkNumber = new AtomicLong();
  private volatile boolean closed;

  PlannerServer(Address address, Consumer<NodeEvent> events) throws IOException {
    this.events = events;
    serverSocket.setReuseAddress(true);
    serverSocket.bind(new InetSocketAddress(address.host(), address.port()));
    Thread.ofPlatform().name("planner-accept").daemon().start(this::acceptLinks);
  }

  private void acceptLinks() {
    while (!closed) {
      try {
        Socket socket = serverSocket.accept();
        Thread.ofPlatform().name("planner-link").daemon().start(() -> serve(socket));
      } catch (IOException e) {
        if (!closed) {
          LogLine.of("link-accept-failed").with("why", e).warn(LOG);
        }
      }
    }
  }

  private void serve(Socket socket) {
    long linkNumber = lastLinkNumber.incrementAndGet();
    try (socket) {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(READ_TIMEOUT_MILLIS);
      FrameLink link = new FrameLink(socket);
      linksByNumber.put(linkNumber, link);
      LogLine.of("link-taken")
          .with("link", linkNumber)
          .with("from", socket.getRemoteSocketAddress())
          .info(LOG);
      link.run(frame -> receive(linkNumber, frame));
    } catch (IOException e) {
      LogLine.of("link-failed").with("why", e).warn(LOG);
    } finally {
      linksByNumber.remove(linkNumber);
    }
  }

  private void receive(long linkNumber, byte[] frame) throws IOException {
    switch (JobCodec.MESSAGES.decode(frame)) {
      case Decoded.Value<NodeMessage> value -> receive(linkNumber, value.value());
      case Decoded.Malformed<NodeMessage> malformed -> throw new IOException(malformed.reason());
    }
  }

  private void receive(long linkNumber, NodeMessage message) {
    switch (message) {
      case NodeMessage.Ask request ->
          events.accept(new NodeEvent.PeerAsked(linkNumber, request.number(), request.call()));
      case NodeMessage.Ping ping -> {
        send(linkNumber, new NodeMessage.Alive());
        events.accept(new NodeEvent.PeerPinged(linkNumber, ping.cores()));
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
   * Sends a message. A message to a link that has ended is dropped: the other end repeats its
   * requests on a new link.
   *
   * @return false if the link is open and its queue is full, so that the message was not sent
   */
  boolean send(long linkNumber, NodeMessage message) {
    FrameLink link = linksByNumber.get(linkNumber);
    if (link == null) {
      withDetails(LogLine.of("message-dropped"), linkNumber, message).info(LOG);
      return true;
    }
    boolean sent = link.offer(JobCodec.MESSAGES.encode(message));
    if (!sent) {
      withDetails(LogLine.of("link-full"), linkNumber, message).warn(LOG);
    }
    return sent;
  }

  private static LogLine withDetails(LogLine line, long linkNumber, NodeMessage message) {
    return line.with("link", linkNumber)
        .with("message", message.getClass().getSimpleName())
        .with("number", callNumber(message));
  }

  /** Returns the number of the call, as in the caller's log event {@code call-expired}. */
  private static String callNumber(NodeMessage message) {
    return switch (message) {
      case NodeMessage.Reply reply -> Long.toString(reply.number());
      case NodeMessage.NotPlanner declined -> Long.toString(declined.number());
      case NodeMessage.Ask request -> Long.toString(request.number());
      case NodeMessage.Ping ping -> "";
      case NodeMessage.Alive alive -> "";
      case NodeMessage.Pong pong -> "";
    };
  }

  @Override
  public void close() throws IOException {
    closed = true;
    linksByNumber.values().forEach(FrameLink::close);
    serverSocket.close();
  }
}
