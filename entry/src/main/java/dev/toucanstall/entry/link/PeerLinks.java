package dev.toucanstall.entry.link;

import dev.toucanstall.core.event.Event;
import dev.toucanstall.core.model.Address;
import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.peer.PeerMessage;
import dev.toucanstall.core.record.Member;
import dev.toucanstall.runtime.link.FrameLink;
import dev.toucanstall.runtime.log.LogLine;
import dev.toucanstall.wire.Decoded;
import dev.toucanstall.wire.peer.Handshake;
import dev.toucanstall.wire.peer.Handshake.Identity;
import dev.toucanstall.wire.peer.PeerCodec;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * TCP links to peers, one for each pair; the member with the lesser name connects. Thread-safe.
 * Sending never blocks: a message to a peer without a link, or with a full queue, is dropped.
 */
public final class PeerLinks implements AutoCloseable {

  private static final Logger LOG = LogManager.getLogger(PeerLinks.class);
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int HANDSHAKE_TIMEOUT_MILLIS = 2_000;
  private static final long MIN_BACKOFF_MILLIS = 50;
  private static final long MAX_BACKOFF_MILLIS = 1_000;

  private final Identity self;
  private final Handshake handshake;
  private final Consumer<Event> events;
  private final ServerSocket serverSocket;
  private final RandomGenerator random = RandomGenerator.getDefault();
  private final Map<MemberId, Member> peers = new ConcurrentHashMap<>();
  private final Map<MemberId, Thread> dialers = new ConcurrentHashMap<>();
  private final Map<MemberId, FrameLink> links = new ConcurrentHashMap<>();
  private final LongAdder bytesSent = new LongAdder();
  private final LongAdder messagesSent = new LongAdder();
  private final LongAdder messagesDropped = new LongAdder();
  private volatile boolean closed;

  /**
   * Starts to accept links.
   *
   * @param self the identity of this instance
   * @param address the address to listen on
   * @param handshake authenticates both ends of a link
   * @param events receives messages and changes of links, from several threads
   * @throws IOException if the address can't be bound
   */
  public PeerLinks(Identity self, Address address, Handshake handshake, Consumer<Event> events)
      throws IOException {
    this.self = self;
    this.handshake = handshake;
    this.events = events;
    this.serverSocket = new ServerSocket();
    serverSocket.setReuseAddress(true);
    serverSocket.bind(new InetSocketAddress(address.host(), address.port()));
    Thread.ofVirtual().name("peer-accept").start(this::acceptLinks);
  }

  /**
   * Sets the peers to keep links to; links to others are closed.
   *
   * @param desired all members to link to, without this instance
   */
  public void setPeers(List<Member> desired) {
    Map<MemberId, Member> desiredById =
        desired.stream().collect(Collectors.toMap(Member::id, Function.identity()));
    peers.keySet().retainAll(desiredById.keySet());
    peers.putAll(desiredById);
    for (MemberId peer : desiredById.keySet()) {
      if (self.member().compareTo(peer) < 0) {
        dialers.computeIfAbsent(peer, this::startDialer);
      }
    }
    links.forEach(
        (peer, link) -> {
          if (!desiredById.containsKey(peer)) {
            link.close();
          }
        });
  }

  /**
   * Sends a message; drops and counts it if there is no link or the link's queue is full.
   *
   * @param to the peer
   * @param message the message
   */
  public void send(MemberId to, PeerMessage message) {
    FrameLink link = links.get(to);
    byte[] encodedMessage = PeerCodec.encode(message);
    if (link != null && link.offer(encodedMessage)) {
      bytesSent.add(encodedMessage.length + Integer.BYTES);
      messagesSent.increment();
    } else {
      messagesDropped.increment();
    }
  }

  /**
   * Returns the number of bytes sent to peers, without the headers of TCP and IP.
   *
   * @return the number since the start
   */
  public long bytesSent() {
    return bytesSent.sum();
  }

  /**
   * Returns the number of messages sent to peers.
   *
   * @return the number since the start
   */
  public long messagesSent() {
    return messagesSent.sum();
  }

  /**
   * Returns the number of messages dropped.
   *
   * @return the number since the start
   */
  public long messagesDropped() {
    return messagesDropped.sum();
  }

  private Thread startDialer(MemberId peer) {
    return Thread.ofVirtual().name("peer-dial-" + peer).start(() -> dial(peer));
  }

  private void dial(MemberId peer) {
    long backoffMillis = MIN_BACKOFF_MILLIS;
    while (!closed) {
      Member member = peers.get(peer);
      if (member == null) {
        dialers.remove(peer);
        return;
      }
      boolean linked = connect(member);
      backoffMillis = linked ? MIN_BACKOFF_MILLIS : Math.min(2 * backoffMillis, MAX_BACKOFF_MILLIS);
      try {
        Thread.sleep(Duration.ofMillis(backoffMillis / 2 + random.nextLong(backoffMillis)));
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private boolean connect(Member member) {
    try (Socket socket = new Socket()) {
      socket.connect(
          new InetSocketAddress(member.peerAddress().host(), member.peerAddress().port()),
          CONNECT_TIMEOUT_MILLIS);
      return runLink(socket, true, member.id());
    } catch (IOException e) {
      return false;
    }
  }

  private void acceptLinks() {
    while (!closed) {
      try {
        Socket socket = serverSocket.accept();
        Thread.ofVirtual().name("peer-link").start(() -> serve(socket));
      } catch (IOException e) {
        if (!closed) {
          LogLine.of("peer-accept-failed").with("why", e).warn(LOG);
        }
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      runLink(socket, false, self.member());
    } catch (IOException e) {
      LogLine.of("peer-refused").with("why", String.valueOf(e.getMessage())).warn(LOG);
    }
  }

  /** Runs the handshake and the link; returns true at its end, throws if the handshake fails. */
  private boolean runLink(Socket socket, boolean dialled, MemberId expected) throws IOException {
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(HANDSHAKE_TIMEOUT_MILLIS);
    FrameLink link = new FrameLink(socket);
    Identity peer = handshake.run(link.in(), link.out(), self, dialled);
    if (dialled && !peer.member().equals(expected)) {
      throw new IOException(
          "peer is \"%s\" but \"%s\" is expected".formatted(peer.member(), expected));
    }
    socket.setSoTimeout(0);
    FrameLink replaced = links.put(peer.member(), link);
    if (replaced != null) {
      replaced.close();
    }
    LogLine.of("peer-linked").with("peer", peer.member()).info(LOG);
    events.accept(new Event.LinkChanged(System.nanoTime(), peer.member(), true));
    try {
      link.run(frame -> receive(peer, frame));
    } finally {
      if (links.remove(peer.member(), link)) {
        events.accept(new Event.LinkChanged(System.nanoTime(), peer.member(), false));
        LogLine.of("peer-unlinked").with("peer", peer.member()).info(LOG);
      }
    }
    return true;
  }

  private void receive(Identity peer, byte[] frame) throws IOException {
    switch (PeerCodec.decode(frame)) {
      case Decoded.Value<PeerMessage> value ->
          events.accept(
              new Event.PeerReceived(
                  System.nanoTime(), peer.member(), peer.incarnation(), value.value()));
      case Decoded.Malformed<PeerMessage> malformed ->
          throw new IOException("malformed peer message: " + malformed.reason());
    }
  }

  @Override
  public void close() {
    closed = true;
    dialers.values().forEach(Thread::interrupt);
    links.values().forEach(FrameLink::close);
    try {
      serverSocket.close();
    } catch (IOException e) {
      LogLine.of("peer-close-failed").with("why", e).warn(LOG);
    }
  }
}
