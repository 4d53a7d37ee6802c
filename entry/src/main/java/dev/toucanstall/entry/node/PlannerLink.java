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
import java.util.function.DoubleSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/** The link to the entry instance that plans. Thread-safe; sending never blocks. */
final class PlannerLink implements AutoCloseable {

  private static final Logger LOG = LogManager.getLogger(PlannerLink.class);
  private static final int CONNECT_MILLIS = 500;

  /** The other end answers each ping at once; after this silence the link is given up. */
  private static final int SILENT_MILLIS = 900;

  private static final long PING_MILLIS = 200;
  private static final long PAUSE_MILLIS = 200;

  private final Consumer<NodeEvent> events;
  private final DoubleSupplier fitness;
  private final Thread pings =
      Thread.ofPlatform().name("planner-ping").daemon().unstarted(this::ping);
  private volatile boolean closed;
  private volatile @Nullable Address planner;
  private volatile @Nullable FrameLink link;

  /**
   * Starts to link to whoever is followed.
   *
   * @param events takes what comes by the link
   * @param fitness tells this instance's processor time a second, in cores, or 0 if it is not fit
   *     to plan; called on another thread
   */
  PlannerLink(Consumer<NodeEvent> events, DoubleSupplier fitness) {
    this.events = events;
    this.fitness = fitness;
    pings.start();
    Thread.ofPlatform().name("planner-dial").daemon().start(this::dial);
  }

  /** Links to another planner from now on; a link to the same address stays in use. */
  void follow(Address next) {
    boolean same = next.equals(planner);
    planner = next;
    FrameLink old = link;
    if (old != null && same) {
      events.accept(new NodeEvent.LinkUp(next));
    } else if (old != null) {
      old.close();
    }
  }

  /**
   * Asks the planner; if there is no link to it, that is told as an event. A link that is full does
   * not serve its calls any more and ends.
   */
  void ask(Address to, long ticket, JobCall call) {
    FrameLink current = link;
    if (!to.equals(planner) || current == null) {
      events.accept(new NodeEvent.AskUnsent(to, ticket));
    } else if (!current.offer(JobCodec.MESSAGES.encode(new NodeMessage.Ask(ticket, call)))) {
      events.accept(new NodeEvent.AskUnsent(to, ticket));
      current.close();
    }
  }

  private void ping() {
    try {
      while (!closed) {
        FrameLink current = link;
        if (current != null) {
          current.offer(JobCodec.MESSAGES.encode(new NodeMessage.Ping(fitness.getAsDouble())));
        }
        Thread.sleep(PING_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void dial() {
    try {
      while (!closed) {
        Address to = planner;
        if (to == null) {
          Thread.sleep(PAUSE_MILLIS / 4);
          continue;
        }
        String why = converse(to);
        events.accept(new NodeEvent.LinkDown(to, why));
        if (to.equals(planner)) {
          Thread.sleep(PAUSE_MILLIS);
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private String converse(Address to) {
    try (Socket socket = new Socket()) {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(SILENT_MILLIS);
      socket.connect(new InetSocketAddress(to.host(), to.port()), CONNECT_MILLIS);
      FrameLink fresh = new FrameLink(socket);
      link = fresh;
      events.accept(new NodeEvent.LinkUp(to));
      return fresh.run(frame -> receive(to, frame));
    } catch (IOException e) {
      return e.getClass().getSimpleName() + ": " + e.getMessage();
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
          events.accept(new NodeEvent.PeerPonged(from, pong.plans(), pong.yields()));
      case NodeMessage.Alive alive -> {}
      case NodeMessage.Ping ping -> LogLine.of("ping-unexpected").warn(LOG);
      case NodeMessage.Ask ask ->
          LogLine.of("ask-unexpected").with("number", ask.number()).warn(LOG);
    }
  }

  @Override
  public void close() {
    closed = true;
    pings.interrupt();
    FrameLink current = link;
    if (current != null) {
      current.close();
    }
  }
}
