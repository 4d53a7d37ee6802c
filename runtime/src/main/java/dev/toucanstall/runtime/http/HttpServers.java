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

/** Makes Jetty servers whose handlers run on virtual threads. Stateless and thread-safe. */
public final class HttpServers {

  private static final int MAX_THREADS = 32;
  private static final int MIN_THREADS = 4;

  private HttpServers() {}

  /**
   * Makes a thread pool whose blocking tasks run on virtual threads.
   *
   * @param name the prefix of its threads' names
   * @return the pool
   */
  public static QueuedThreadPool newThreadPool(String name) {
    QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
    threads.setName(name);
    threads.setVirtualThreadsExecutor(VirtualThreads.getDefaultVirtualThreadsExecutor());
    return threads;
  }

  /**
   * Makes a server of plain HTTP/1.1; it is not started.
   *
   * @param name the prefix of its threads' names
   * @param address where it listens
   * @param handler answers the requests
   * @return the server
   */
  public static Server newServer(String name, Address address, Handler handler) {
    Server server = new Server(newThreadPool(name));
    server.addConnector(connector(server, address, 1));
    server.setHandler(handler);
    return server;
  }

  /**
   * Makes a server of plain HTTP/1.1 at two addresses; it is not started.
   *
   * @param name the prefix of its threads' names
   * @param address where it listens
   * @param second where it listens too, with no thread of its own for new connections
   * @param handler answers the requests
   * @return the server
   */
  public static Server newServer(String name, Address address, Address second, Handler handler) {
    Server server = newServer(name, address, handler);
    server.addConnector(connector(server, second, 0));
    return server;
  }

  private static ServerConnector connector(Server server, Address address, int acceptors) {
    HttpConfiguration configuration = new HttpConfiguration();
    configuration.setSendServerVersion(false);
    ServerConnector connector =
        new ServerConnector(server, acceptors, 1, new HttpConnectionFactory(configuration));
    connector.setHost(address.host());
    connector.setPort(address.port());
    return connector;
  }

  /**
   * Closes a server's listeners; its connections stay as they are.
   *
   * @param server a server that was started
   */
  public static void stopAccepting(Server server) {
    Arrays.stream(server.getConnectors())
        .filter(NetworkConnector.class::isInstance)
        .map(NetworkConnector.class::cast)
        .forEach(NetworkConnector::close);
  }
}
