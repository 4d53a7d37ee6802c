package dev.toucanstall.runtime.http;

import dev.toucanstall.core.model.Address;
import java.net.ConnectException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.ByteBufferRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.HttpClientTransport;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.thread.Invocable;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.jspecify.annotations.Nullable;

/** Sends whole HTTP requests without blocking and tells what became of them. Thread-safe. */
public final class AsyncHttpClient implements AutoCloseable {

  private static final int MAX_ANSWER_BYTES = 64 << 20;
  private static final long CONNECT_MILLIS = 500;
  private static final long IDLE_MILLIS = 60_000;
  private static final int MAX_QUEUED = 4_096;
  private static final int MAX_THREADS = 8;
  private static final int MIN_THREADS = 2;

  private final HttpClient client;

  /**
   * Creates a client.
   *
   * @param name the prefix of its threads' names
   * @param connections most connections to one address
   */
  public AsyncHttpClient(String name, int connections) {
    client = new HttpClient(transport());
    client.setExecutor(threads(name));
    client.setFollowRedirects(false);
    client.setConnectTimeout(CONNECT_MILLIS);
    client.setIdleTimeout(IDLE_MILLIS);
    client.setMaxConnectionsPerDestination(connections);
    client.setMaxRequestsQueuedPerDestination(MAX_QUEUED);
    client.setUserAgentField(null);
    client.getContentDecoderFactories().clear();
    try {
      client.start();
    } catch (Exception e) {
      throw new IllegalStateException("HTTP client \"%s\" did not start".formatted(name), e);
    }
  }

  /** Answers are read and told by the thread that waits for them, as what is told never blocks. */
  private static HttpClientTransport transport() {
    ClientConnector connector = new ClientConnector();
    connector.setSelectors(1);
    HttpClientTransport transport = new HttpClientTransportOverHTTP(connector);
    transport.setInvocationType(Invocable.InvocationType.NON_BLOCKING);
    return transport;
  }

  private static QueuedThreadPool threads(String name) {
    QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
    threads.setName(name);
    return threads;
  }

  /**
   * A request.
   *
   * @param method the HTTP method
   * @param address where it goes
   * @param path the path with its query
   * @param headers headers beside those of the body
   * @param type the media type of the body
   * @param body the body, empty for none
   * @param timeout how long to wait for the whole answer
   */
  public record OutgoingRequest(
      String method,
      Address address,
      String path,
      Map<String, String> headers,
      String type,
      byte[] body,
      Duration timeout) {}

  /**
   * Sends a request.
   *
   * @param outgoing the request
   * @param done told once what became of it, on a thread of the client; must not block
   */
  public void send(OutgoingRequest outgoing, Consumer<HttpOutcome> done) {
    Request request =
        client
            .newRequest("http://" + outgoing.address() + outgoing.path())
            .method(outgoing.method())
            .timeout(outgoing.timeout().toNanos(), TimeUnit.NANOSECONDS);
    outgoing.headers().forEach((name, value) -> request.headers(h -> h.put(name, value)));
    request.headers(h -> h.remove(HttpHeader.ACCEPT));
    if (outgoing.body().length > 0 || "POST".equals(outgoing.method())) {
      request.body(new ByteBufferRequestContent(outgoing.type(), ByteBuffer.wrap(outgoing.body())));
    }
    request.send(
        new BufferingResponseListener(MAX_ANSWER_BYTES) {
          @Override
          public void onComplete(Result result) {
            done.accept(outcome(result, getContent()));
          }
        });
  }

  /**
   * Sends a request and waits for what becomes of it.
   *
   * @param outgoing the request
   * @return what became of it
   * @throws InterruptedException if the thread is interrupted meanwhile
   */
  public HttpOutcome sendAndWait(OutgoingRequest outgoing) throws InterruptedException {
    CompletableFuture<HttpOutcome> future = new CompletableFuture<>();
    send(outgoing, future::complete);
    try {
      return future.get();
    } catch (ExecutionException e) {
      throw new IllegalStateException("the future of a call failed", e);
    }
  }

  private static HttpOutcome outcome(Result result, byte @Nullable [] body) {
    Throwable failure = result.getFailure();
    if (failure == null) {
      return new HttpOutcome.Responded(
          result.getResponse().getStatus(), body == null ? new byte[0] : body);
    }
    String why = failure.getClass().getSimpleName() + ": " + failure.getMessage();
    return failure instanceof ConnectException
        ? new HttpOutcome.ConnectionRefused(why)
        : new HttpOutcome.NoResponse(why);
  }

  @Override
  public void close() {
    try {
      client.stop();
    } catch (Exception e) {
      throw new IllegalStateException("HTTP client did not stop", e);
    }
  }
}
