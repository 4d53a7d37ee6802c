package dev.toucanstall.testbed.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.jspecify.annotations.Nullable;

/**
 * Forwards the connections of one entry instance to one target, and cuts, resets, refuses or delays
 * them. It listens at a loopback address of its own, and its connections to the stand-in come from
 * an address that names the entry instance. Thread-safe; each direction of a connection has a
 * virtual thread.
 */
final class FaultProxy implements AutoCloseable {

  private static final int FIRST_NETWORK = 10;
  private static final int BACKLOG = 128;
  private static final int BUFFER_BYTES = 16_384;
  private static final long DELAY_MILLIS = 400;

  /** Share of the connections that stay silent after a silent cut has ended. */
  private static final double LOST_SHARE = 0.3;

  private final InetSocketAddress address;
  private final InetSocketAddress standIn;
  private final InetAddress source;
  private final Random random;
  private final List<Connection> connections = new ArrayList<>();
  private @Nullable ServerSocket listener;
  private @Nullable Thread acceptor;
  private LinkMode mode = LinkMode.PASS;

  /** A connection and what it was forwarded to; {@code lost} if nothing passes any more. */
  private static final class Connection {
    final Socket near;
    final Socket far;
    boolean lost;

    Connection(Socket near, Socket far) {
      this.near = near;
      this.far = far;
    }
  }

  /**
   * Starts to listen.
   *
   * @param entry number of the entry instance
   * @param target number of the target
   * @param port port to listen at
   * @param standInPort port of the stand-in on 127.0.0.1
   * @param seed seed of the choice of lost connections
   * @throws IOException if the address is in use
   */
  FaultProxy(int entry, int target, int port, int standInPort, long seed) throws IOException {
    address = new InetSocketAddress(InetAddress.getByName(host(entry, target)), port);
    standIn = new InetSocketAddress(InetAddress.getByName("127.0.0.1"), standInPort);
    source = InetAddress.getByName("127.%d.1.1".formatted(FIRST_NETWORK + entry));
    random = new Random(seed);
    listen();
  }

  /** Returns the loopback address at which an entry instance finds a target. */
  static String host(int entry, int target) {
    return "127.%d.0.%d".formatted(FIRST_NETWORK + entry, target + 1);
  }

  /** Returns the entry instance that the address of a proxy or of its connections names. */
  static int entryOf(InetAddress address) {
    return Byte.toUnsignedInt(address.getAddress()[1]) - FIRST_NETWORK;
  }

  private synchronized void listen() throws IOException {
    if (listener == null) {
      ServerSocket socket = new ServerSocket();
      socket.setReuseAddress(true);
      socket.bind(address, BACKLOG);
      listener = socket;
      acceptor = Thread.ofVirtual().start(() -> accept(socket));
    }
  }

  /** Closes the listener; its address is free once the thread that accepts has ended. */
  private synchronized void stopListening() throws IOException {
    if (listener != null && acceptor != null) {
      listener.close();
      listener = null;
      try {
        acceptor.join();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  /**
   * Sets how the link behaves.
   *
   * @param next the mode
   * @throws IOException if the link can't listen again
   */
  synchronized void setMode(LinkMode next) throws IOException {
    final boolean wasHeld = holds();
    mode = next;
    if (next == LinkMode.RESET || next == LinkMode.REFUSE) {
      stopListening();
    } else {
      listen();
    }
    if (next == LinkMode.RESET) {
      List.copyOf(connections).forEach(this::reset);
    }
    if (wasHeld && !holds()) {
      connections.forEach(connection -> connection.lost |= random.nextDouble() < LOST_SHARE);
    }
    notifyAll();
  }

  private boolean holds() {
    return mode == LinkMode.SILENT || mode == LinkMode.REFUSE;
  }

  private void accept(ServerSocket socket) {
    while (!socket.isClosed()) {
      try {
        Socket near = socket.accept();
        Thread.ofVirtual().start(() -> forward(near));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void forward(Socket near) {
    Socket far = new Socket();
    try {
      near.setTcpNoDelay(true);
      far.setTcpNoDelay(true);
      far.bind(new InetSocketAddress(source, 0));
      far.connect(standIn);
    } catch (IOException e) {
      closeQuietly(near);
      closeQuietly(far);
      return;
    }
    Connection connection = new Connection(near, far);
    synchronized (this) {
      if (mode == LinkMode.RESET) {
        reset(connection);
        return;
      }
      connections.add(connection);
    }
    Thread.ofVirtual().start(() -> pump(connection, far, near));
    pump(connection, near, far);
  }

  private void pump(Connection connection, Socket from, Socket to) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try (InputStream in = from.getInputStream()) {
      int length = in.read(buffer);
      while (length >= 0) {
        awaitPassage(connection);
        to.getOutputStream().write(buffer, 0, length);
        length = in.read(buffer);
      }
      awaitPassage(connection);
    } catch (IOException e) {
      // The connection has ended; the other direction ends with it.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      synchronized (this) {
        connections.remove(connection);
      }
      closeQuietly(connection.near);
      closeQuietly(connection.far);
    }
  }

  private void awaitPassage(Connection connection) throws InterruptedException {
    boolean isDelayed;
    synchronized (this) {
      while (holds() || connection.lost) {
        wait();
      }
      isDelayed = mode == LinkMode.DELAY;
    }
    if (isDelayed) {
      Thread.sleep(DELAY_MILLIS);
    }
  }

  /** Closes both ends with a reset. */
  private synchronized void reset(Connection connection) {
    for (Socket socket : List.of(connection.near, connection.far)) {
      try {
        socket.setSoLinger(true, 0);
      } catch (IOException e) {
        // It is closed already.
      }
      closeQuietly(socket);
    }
    connections.remove(connection);
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // Nothing is left to close.
    }
  }

  @Override
  public synchronized void close() throws IOException {
    mode = LinkMode.RESET;
    stopListening();
    List.copyOf(connections).forEach(this::reset);
    notifyAll();
  }
}
