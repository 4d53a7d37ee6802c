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
 * Links to peers over TCP, one for each pair; the member whose name comes first dials. Thread-safe.
 * Sending never blocks: a message to a peer without a link, or with a full queue, is dropped.
 */
public final class PeerLinks implements AutoCloseable {

  private static final Logger LOG = LogManager.getLogger(PeerLinks.class);
  private static final int CONNECT_MILLIS = 1_000;
  private static final int HANDSHAKE_MILLIS = 2_000;
  private static final long FIRST_PAUSE_MILLIS = 50;
  private static final long LONGEST_PAUSE_MILLIS = 1_000;

  private final Identity own;
  private final Handshake handshake;
  private final Consumer<Event> events;
  private final ServerSocket server;
  private final RandomGenerator random = RandomGenerator.getDefault();
  private final Map<MemberId, Member> wanted = new ConcurrentHashMap<>();
  private final Map<MemberId, Thread> dialers = new ConcurrentHashMap<>();
  private final Map<MemberId, FrameLink> links = new ConcurrentHashMap<>();
  private final LongAdder bytesSent = new LongAdder();
  private final LongAdder messagesSent = new LongAdder();
  private final LongAdder messagesDropped = new LongAdder();
  private volatile boolean closed;

  /**
   * Starts to listen.
   *
   * @param own who this instance is
   * @param address where it listens
   * @param handshake proves both ends of a link
   * @param events takes events to the control thread
   * @throws IOException if the address is in use
   */
  public PeerLinks(Identity own, Address address, Handshake handshake, Consumer<Event> events)
      throws IOException {
    this.own = own;
    this.handshake = handshake;
    this.events = events;
    this.server = new ServerSocket();
    server.setReuseAddress(true);
    server.bind(new InetSocketAddress(address.host(), address.port()));
    Thread.ofVirtual().name("peer-accept").start(this::accept);
  }

  /**
   * Keeps links to exactly these peers.
   *
   * @param peers the peers
   */
  public void setPeers(List<Member> peers) {
    Map<MemberId, Member> next =
        peers.stream().collect(Collectors.toMap(Member::id, Function.identity()));
    wanted.keySet().retainAll(next.keySet());
    wanted.putAll(next);
    for (MemberId peer : next.keySet()) {
      if (own.member().compareTo(peer) < 0) {
        dialers.computeIfAbsent(peer, this::startDialer);
      }
    }
    links.forEach(
        (peer, link) -> {
          if (!next.containsKey(peer)) {
            link.close();
          }
        });
  }

  /**
   * Sends a message if there is a link with room in its queue.
   *
   * @param to the peer
   * @param message the message
   */
  public void send(MemberId to, PeerMessage message) {
    FrameLink link = links.get(to);
    byte[] bytes = PeerCodec.encode(message);
    if (link != null && link.offer(bytes)) {
      bytesSent.add(bytes.length + Integer.BYTES);
      messagesSent.increment();
    } else {
      messagesDropped.increment();
    }
  }

  /**
   * Returns how many bytes of messages were sent to peers.
   *
   * @return the number, headers of TCP and IP not counted
   */
  public long bytesSent() {
    return bytesSent.sum();
  }

  /**
   * Returns how many messages were sent to peers.
   *
   * @return the number
   */
  public long messagesSent() {
    return messagesSent.sum();
  }

  /**
   * Returns how many messages were dropped.
   *
   * @return the number
   */
  public long messagesDropped() {
    return messagesDropped.sum();
  }

  private Thread startDialer(MemberId peer) {
    return Thread.ofVirtual().name("peer-dial-" + peer).start(() -> dial(peer));
  }

  private void dial(MemberId peer) {
    long pause = FIRST_PAUSE_MILLIS;
    while (!closed) {
      Member member = wanted.get(peer);
      if (member == null) {
        dialers.remove(peer);
        return;
      }
      boolean linked = connect(member);
      pause = linked ? FIRST_PAUSE_MILLIS : Math.min(2 * pause, LONGEST_PAUSE_MILLIS);
      try {
        Thread.sleep(Duration.ofMillis(pause / 2 + random.nextLong(pause)));
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private boolean connect(Member member) {
    try (Socket socket = new Socket()) {
      socket.connect(
          new InetSocketAddress(member.peerAddress().host(), member.peerAddress().port()),
          CONNECT_MILLIS);
      return converse(socket, true, member.id());
    } catch (IOException e) {
      return false;
    }
  }

  private void accept() {
    while (!closed) {
      try {
        Socket socket = server.accept();
        Thread.ofVirtual().name("peer-link").start(() -> welcome(socket));
      } catch (IOException e) {
        if (!closed) {
          LogLine.of("peer-accept-failed").with("why", e).warn(LOG);
        }
      }
    }
  }

  private void welcome(Socket socket) {
    try (socket) {
      converse(socket, false, own.member());
    } catch (IOException e) {
      LogLine.of("peer-refused").with("why", String.valueOf(e.getMessage())).warn(LOG);
    }
  }

  /** Runs the handshake and the link until it ends; tells whether the handshake succeeded. */
  private boolean converse(Socket socket, boolean dialled, MemberId expected) throws IOException {
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(HANDSHAKE_MILLIS);
    FrameLink link = new FrameLink(socket);
    Identity other = handshake.run(link.in(), link.out(), own, dialled);
    if (dialled && !other.member().equals(expected)) {
      throw new IOException("peer is \"%s\", not \"%s\"".formatted(other.member(), expected));
    }
    socket.setSoTimeout(0);
    FrameLink before = links.put(other.member(), link);
    if (before != null) {
      before.close();
    }
    LogLine.of("peer-linked").with("peer", other.member()).info(LOG);
    events.accept(new Event.LinkChanged(System.nanoTime(), other.member(), true));
    try {
      link.run(frame -> receive(other, frame));
    } finally {
      if (links.remove(other.member(), link)) {
        events.accept(new Event.LinkChanged(System.nanoTime(), other.member(), false));
        LogLine.of("peer-unlinked").with("peer", other.member()).info(LOG);
      }
    }
    return true;
  }

  private void receive(Identity other, byte[] frame) throws IOException {
    switch (PeerCodec.decode(frame)) {
      case Decoded.Value<PeerMessage> value ->
          events.accept(
              new Event.PeerReceived(
                  System.nanoTime(), other.member(), other.incarnation(), value.value()));
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
      server.close();
    } catch (IOException e) {
      LogLine.of("peer-close-failed").with("why", e).warn(LOG);
    }
  }
}
