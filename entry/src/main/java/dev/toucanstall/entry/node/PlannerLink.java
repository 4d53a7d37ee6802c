package dev.toucanstall.entry.node;

import dev.toucanstall.core.job.JobCall;
import dev.toucanstall.core.model.Address;
import dev.toucanstall.core.node.NodeEvent;
import dev.toucanstall.core.node.NodeMessage;
import dev.toucanstall.runtime.link.FrameLink;
import dev.toucanstall.runtime.log.LogLine;
import dev.toucanstall.wire.Decoded;
import dev.toucanstall.wire.job.JobCodec;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/** Link to the entry instance that plans. Thread-safe; sending never blocks. */
final class PlannerLink implements AutoCloseable {

  private static final Logger LOG = LogManager.getLogger(PlannerLink.class);
  private static final int CONNECT_TIMEOUT_MILLIS = 500;

  /** Time without received data after which the link is closed; each ping is answered at once. */
  private static final int READ_TIMEOUT_MILLIS = 900;

  private static final long PING_INTERVAL_MILLIS = 200;
  private static final long RECONNECT_PAUSE_MILLIS = 200;

  private final Consumer<NodeEvent> events;
  private final Thread pingThread =
      Thread.ofPlatform().name("planner-ping").daemon().unstarted(this::sendPings);
  private volatile boolean closed;
  private volatile double offeredCores;
  private volatile @Nullable Address plannerAddress;
  private volatile @Nullable FrameLink link;

  /**
   * Starts the threads that keep the link and send pings; {@link #follow} names the planner.
   *
   * @param events receives replies and changes of the link
   */
  PlannerLink(Consumer<NodeEvent> events) {
    this.events = events;
    pingThread.start();
    Thread.ofPlatform().name("planner-dial").daemon().start(this::maintainLink);
  }

  /** Sets the processor capacity that pings report, in cores; 0 if this instance can't plan. */
  void setOfferedCores(double cores) {
    offeredCores = cores;
  }

  /** Sets the planner to link to; an existing link to the same address stays in use. */
  void follow(Address address) {
    boolean sameAddress = address.equals(plannerAddress);
    plannerAddress = address;
    FrameLink current = link;
    if (current != null && sameAddress) {
      events.accept(new NodeEvent.LinkUp(address));
    } else if (current != null) {
      current.close();
    }
  }

  /**
   * Sends a call to the planner, or emits {@link NodeEvent.AskUnsent} if there is no link to it or
   * the link's queue is full. A link that delivers nothing any more ends by its read timeout.
   */
  void sendCall(Address address, long ticket, JobCall call) {
    FrameLink current = link;
    if (!address.equals(plannerAddress)
        || current == null
        || !current.offer(JobCodec.MESSAGES.encode(new NodeMessage.Ask(ticket, call)))) {
      events.accept(new NodeEvent.AskUnsent(address, ticket));
    }
  }

  private void sendPings() {
    try {
      while (!closed) {
        FrameLink current = link;
        if (current != null) {
          current.offer(JobCodec.MESSAGES.encode(new NodeMessage.Ping(offeredCores)));
        }
        Thread.sleep(PING_INTERVAL_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void maintainLink() {
    try {
      while (!closed) {
        Address address = plannerAddress;
        if (address == null) {
          Thread.sleep(RECONNECT_PAUSE_MILLIS / 4);
          continue;
        }
        String reason = runLink(address);
        events.accept(new NodeEvent.LinkDown(address, reason));
        if (address.equals(plannerAddress)) {
          Thread.sleep(RECONNECT_PAUSE_MILLIS);
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private String runLink(Address address) {
    try (Socket socket = new Socket()) {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(READ_TIMEOUT_MILLIS);
      socket.connect(new InetSocketAddress(address.host(), address.port()), CONNECT_TIMEOUT_MILLIS);
      FrameLink connected = new FrameLink(socket);
      link = connected;
      events.accept(new NodeEvent.LinkUp(address));
      return connected.run(frame -> receive(address, frame));
    } catch (IOException e) {
      return e.getClass().getSimpleName() + ": " + e.getMessage();
    } catch (RuntimeException e) {
      LogLine.of("link-failed").with("why", e).error(LOG, e);
      return e.toString();
    } finally {
      link = null;
    }
  }

  private void receive(Address from, byte[] frame) throws IOException {
    switch (JobCodec.MESSAGES.decode(frame)) {
      case Decoded.Value<NodeMessage> value -> receive(from, value.value());
      case Decoded.Malformed<NodeMessage> malformed -> throw new IOException(malformed.reason());
    }
  }

  private void receive(Address from, NodeMessage message) {
    switch (message) {
      case NodeMessage.Reply reply ->
          events.accept(new NodeEvent.PeerAnswered(from, reply.number(), reply.answer()));
      case NodeMessage.NotPlanner declined ->
          events.accept(new NodeEvent.PeerDeclined(from, declined.number(), declined.taken()));
      case NodeMessage.Pong pong ->
          events.accept(
              new NodeEvent.PeerPonged(
                  from, pong.plans(), pong.yields(), pong.logEnd(), pong.confirmedAgeMs()));
      case NodeMessage.Alive alive -> {}
      case NodeMessage.Ping ping -> LogLine.of("ping-unexpected").warn(LOG);
      case NodeMessage.Ask request ->
          LogLine.of("ask-unexpected").with("number", request.number()).warn(LOG);
    }
  }

  @Override
  public void close() {
    closed = true;
    pingThread.interrupt();
    FrameLink current = link;
    if (current != null) {
      current.close();
    }
  }
}
