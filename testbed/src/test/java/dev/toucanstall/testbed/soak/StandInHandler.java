package dev.toucanstall.testbed.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import dev.toucanstall.runtime.loop.PendingQueries;
import dev.toucanstall.testbed.soak.SoakEffect.Reply;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/**
 * Turns HTTP requests to the store and to backend servers into events, and waits for the replies on
 * virtual threads. The Host header names the backend server, the sender's address the entry
 * instance. Thread-safe.
 */
final class StandInHandler extends Handler.Abstract {

  private static final Duration REPLY_TIMEOUT = Duration.ofSeconds(40);

  private final PendingQueries<Reply> requests = new PendingQueries<>();
  private final Consumer<SoakEvent> post;
  private final LongSupplier clock;

  /**
   * Creates a handler.
   *
   * @param post takes the events
   * @param clock returns the time since the start of the soak, in milliseconds
   */
  StandInHandler(Consumer<SoakEvent> post, LongSupplier clock) {
    this.post = post;
    this.clock = clock;
  }

  void complete(Reply reply) {
    requests.complete(reply.handle(), reply);
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) throws Exception {
    int entry =
        FaultProxy.entryOf(
            ((InetSocketAddress) request.getConnectionMetaData().getRemoteSocketAddress())
                .getAddress());
    String path = Request.getPathInContext(request);
    String host = Objects.requireNonNullElse(request.getHeaders().get(HttpHeader.HOST), "");
    byte[] body = readBody(request);
    Reply reply =
        requests.query(
            handle ->
                post.accept(
                    host.startsWith("w")
                        ? order(request, handle, entry, host, path, body)
                        : new SoakEvent.StoreCall(
                            clock.getAsLong(), handle, entry, path, query(request), body)),
            REPLY_TIMEOUT);
    if (reply == null || reply.status() == 0) {
      request.getConnectionMetaData().getConnection().getEndPoint().close();
      callback.succeeded();
      return true;
    }
    response.setStatus(reply.status());
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
    response.write(true, ByteBuffer.wrap(reply.body()), callback);
    return true;
  }

  private SoakEvent.Order order(
      Request request, long handle, int entry, String host, String path, byte[] body) {
    int server = Integer.parseInt(host.substring(1, host.indexOf('.')));
    String expected = Objects.requireNonNullElse(request.getHeaders().get("Expect-Instance"), "");
    return new SoakEvent.Order(
        clock.getAsLong(), handle, entry, server, path, expected, json(body), 0);
  }

  private static JsonNode json(byte[] body) {
    try {
      return StoreRules.JSON.readTree(body);
    } catch (IOException e) {
      return MissingNode.getInstance();
    }
  }

  private static byte[] readBody(Request request) throws IOException {
    try (InputStream in = Content.Source.asInputStream(request)) {
      return in.readAllBytes();
    }
  }

  private static Map<String, String> query(Request request) {
    return Request.extractQueryParameters(request).stream()
        .collect(
            Collectors.toMap(
                Fields.Field::getName,
                field -> Objects.requireNonNullElse(field.getValue(), ""),
                (a, b) -> a));
  }
}
