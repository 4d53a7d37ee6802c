package dev.toucanstall.runtime.http;

import dev.toucanstall.core.model.Address;
import java.util.Arrays;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.NetworkConnector;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.VirtualThreads;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Creates Jetty servers whose handlers run on virtual threads. Stateless and thread-safe. */
public final class HttpServers {

  private static final int MAX_THREADS = 32;
  private static final int MIN_THREADS = 4;

  private HttpServers() {}

  /**
   * Creates a thread pool whose blocking tasks run on virtual threads.
   *
   * @param name prefix of the names of the pool's platform threads
   * @return the pool, not started
   */
  public static QueuedThreadPool newThreadPool(String name) {
    QueuedThreadPool pool = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
    pool.setName(name);
    pool.setVirtualThreadsExecutor(VirtualThreads.getDefaultVirtualThreadsExecutor());
    return pool;
  }

  /**
   * Creates a server of HTTP/1.1 without TLS.
   *
   * @param name prefix of the names of the server's threads
   * @param address address to listen on
   * @param handler handles the requests
   * @return the server, not started
   */
  public static Server newServer(String name, Address address, Handler handler) {
    Server server = new Server(newThreadPool(name));
    server.addConnector(newConnector(server, address, 1));
    server.setHandler(handler);
    return server;
  }

  /**
   * Creates a server of HTTP/1.1 without TLS that listens on two addresses.
   *
   * @param name prefix of the names of the server's threads
   * @param address address to listen on, with a thread that accepts connections
   * @param secondAddress another address to listen on, without such a thread
   * @param handler handles the requests
   * @return the server, not started
   */
  public static Server newServer(
      String name, Address address, Address secondAddress, Handler handler) {
    Server server = newServer(name, address, handler);
    server.addConnector(newConnector(server, secondAddress, 0));
    return server;
  }

  private static ServerConnector newConnector(Server server, Address address, int acceptors) {
    HttpConfiguration configuration = new HttpConfiguration();
    configuration.setSendServerVersion(false);
    ServerConnector connector =
        new ServerConnector(server, acceptors, 1, new HttpConnectionFactory(configuration));
    connector.setHost(address.host());
    connector.setPort(address.port());
    return connector;
  }

  /**
   * Closes the listeners of a server and leaves its open connections as they are.
   *
   * @param server a started server
   */
  public static void stopAccepting(Server server) {
    Arrays.stream(server.getConnectors())
        .filter(NetworkConnector.class::isInstance)
        .map(NetworkConnector.class::cast)
        .forEach(NetworkConnector::close);
  }
}
