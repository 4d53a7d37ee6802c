package dev.toucanstall.entry.main;

import dev.toucanstall.entry.config.EntryConfig;
import dev.toucanstall.runtime.http.HttpServers;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.eclipse.jetty.http2.server.HTTP2CServerConnectionFactory;
import org.eclipse.jetty.server.ConnectionFactory;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.NetworkConnectionLimit;
import org.eclipse.jetty.server.SecureRequestCustomizer;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.server.SslConnectionFactory;
import org.eclipse.jetty.util.ssl.SslContextFactory;

/** Makes the Jetty server towards callers, with its limits. Stateless. */
final class CallerServer {

  private static final Duration IDLE = Duration.ofSeconds(60);

  private CallerServer() {}

  /** Makes the server; it is not started. */
  static Server make(EntryConfig config, Handler handler) {
    Server server = new Server(HttpServers.newThreadPool("callers"));
    HttpConfiguration http = new HttpConfiguration();
    http.setSendServerVersion(false);
    http.setRequestHeaderSize(config.limits().headerBytes());
    http.setMinRequestDataRate(config.limits().minBytesPerSecond());
    ServerConnector connector =
        new ServerConnector(
            server, 1, 2, factories(server, config, http).toArray(new ConnectionFactory[0]));
    connector.setHost(config.callers().host());
    connector.setPort(config.callers().port());
    connector.setIdleTimeout(IDLE.toMillis());
    server.addConnector(connector);
    server.addBean(new NetworkConnectionLimit(config.limits().connections(), server));
    server.setHandler(handler);
    return server;
  }

  private static List<ConnectionFactory> factories(
      Server server, EntryConfig config, HttpConfiguration http) {
    List<ConnectionFactory> factories = new ArrayList<>();
    EntryConfig.Tls tls = config.tls();
    if (tls == null) {
      factories.add(new HttpConnectionFactory(http));
      factories.add(new HTTP2CServerConnectionFactory(http));
      return factories;
    }
    http.addCustomizer(new SecureRequestCustomizer(false));
    SslContextFactory.Server context = new SslContextFactory.Server();
    server.addBean(new TlsReloader(context, tls));
    factories.add(new SslConnectionFactory(context, "http/1.1"));
    factories.add(new HttpConnectionFactory(http));
    return factories;
  }
}
