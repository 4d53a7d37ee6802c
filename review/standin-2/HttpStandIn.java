import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

/** HTTP server of a stand-in on a free loopback port. */
abstract class HttpStandIn {

  /** A call that has been read. */
  record Call(
      String method, String path, Map<String, String> parameters, byte[] body, HttpExchange http) {

    String query(String name, String fallback) {
      return parameters.getOrDefault(name, fallback);
    }

    String header(String name) {
      String value = http.getRequestHeaders().getFirst(name);
      return value == null ? "" : value;
    }
  }

  /** An answer. */
  record Reply(int status, byte[] body) {

    Reply(int status, String text) {
      this(status, text.getBytes(StandardCharsets.UTF_8));
    }
  }

  final Rig rig;
  private final HttpServer server;

  /** While true, calls are read and never answered. */
  volatile boolean dark;

  HttpStandIn(Rig rig) throws IOException {
    this.rig = rig;
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext("/", this::handle);
    server.start();
  }

  final int port() {
    return server.getAddress().getPort();
  }

  final String address() {
    return "127.0.0.1:" + port();
  }

  abstract Reply answer(Call call) throws Exception;

  /** Takes note of a call, also of one that gets no answer. */
  void arrived(Call call) {}

  private void handle(HttpExchange http) throws IOException {
    try {
      byte[] body = http.getRequestBody().readAllBytes();
      Map<String, String> parameters = new HashMap<>();
      String query = http.getRequestURI().getRawQuery();
      if (query != null) {
        for (String pair : query.split("&")) {
          int equals = pair.indexOf('=');
          parameters.put(
              pair.substring(0, equals),
              URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
      }
      Call call =
          new Call(
              http.getRequestMethod(), http.getRequestURI().getPath(), parameters, body, http);
      arrived(call);
      Reply reply = dark ? null : answer(call);
      if (reply == null || dark) {
        // No answer on this channel, and nothing further.
        Thread.sleep(30_000);
        http.close();
        return;
      }
      http.sendResponseHeaders(reply.status(), reply.body().length == 0 ? -1 : reply.body().length);
      http.getResponseBody().write(reply.body());
      http.close();
    } catch (InterruptedException e) {
      http.close();
    } catch (Exception e) {
      rig.log("stand-in-error " + e);
      http.close();
    }
  }

  void close() {
    server.stop(0);
  }
}
