package dev.toucanstall.runtime.http;

import dev.toucanstall.core.model.Address;
import dev.toucanstall.runtime.log.LogLine;
import java.net.ConnectException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
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

/** Sends HTTP requests without blocking and passes their outcomes to callbacks. Thread-safe. */
public final class AsyncHttpClient implements AutoCloseable {

  private static final Logger LOG = LogManager.getLogger(AsyncHttpClient.class);
  private static final int MAX_RESPONSE_BYTES = 64 << 20;
  private static final long CONNECT_TIMEOUT_MILLIS = 500;
  private static final long IDLE_TIMEOUT_MILLIS = 60_000;
  private static final int MAX_QUEUED_REQUESTS = 4_096;
  private static final int MAX_THREADS = 8;
  private static final int MIN_THREADS = 2;

  private final HttpClient client;

  /**
   * Creates a client.
   *
   * @param name prefix of the names of the client's threads
   * @param maxConnections maximum number of connections to one address
   * @throws IllegalStateException if the client does not start
   */
  public AsyncHttpClient(String name, int maxConnections) {
    client = new HttpClient(newTransport());
    client.setExecutor(newThreadPool(name));
    client.setFollowRedirects(false);
    client.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
    client.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
    client.setMaxConnectionsPerDestination(maxConnections);
    client.setMaxRequestsQueuedPerDestination(MAX_QUEUED_REQUESTS);
    client.setUserAgentField(null);
    client.getContentDecoderFactories().clear();
    try {
      client.start();
    } catch (Exception e) {
      throw new IllegalStateException("HTTP client \"%s\" did not start".formatted(name), e);
    }
  }

  /** Runs callbacks on the selector thread, without a handover, because they never block. */
  private static HttpClientTransport newTransport() {
    ClientConnector connector = new ClientConnector();
    connector.setSelectors(1);
    HttpClientTransport transport = new HttpClientTransportOverHTTP(connector);
    transport.setInvocationType(Invocable.InvocationType.NON_BLOCKING);
    return transport;
  }

  private static QueuedThreadPool newThreadPool(String name) {
    QueuedThreadPool pool = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
    pool.setName(name);
    return pool;
  }

  /**
   * An HTTP request.
   *
   * @param method the HTTP method
   * @param address address of the server
   * @param path the path with the query
   * @param headers headers in addition to those that describe the body
   * @param mediaType media type of the body
   * @param body the body, empty for none
   * @param timeout maximum time until the complete response
   */
  public record OutgoingRequest(
      String method,
      Address address,
      String path,
      Map<String, String> headers,
      String mediaType,
      byte[] body,
      Duration timeout) {}

  /**
   * Sends a request. Does not throw: a request that can't be sent is reported as {@link
   * HttpOutcome.ConnectionRefused}, on the calling thread.
   *
   * @param request the request
   * @param callback receives the outcome, on a thread of the client; must not block. If it throws,
   *     it receives the outcome {@link HttpOutcome.NoResponse} in addition, because the sender
   *     waits for one that it can use
   */
  public void send(OutgoingRequest request, Consumer<HttpOutcome> callback) {
    Request jettyRequest;
    try {
      jettyRequest = jettyRequest(request);
    } catch (RuntimeException e) {
      LogLine.of("request-invalid")
          .with("method", request.method())
          .with("address", request.address())
          .error(LOG, e);
      callback.accept(new HttpOutcome.ConnectionRefused("the request is invalid: " + e));
      return;
    }
    jettyRequest.send(
        new BufferingResponseListener(MAX_RESPONSE_BYTES) {
          @Override
          public void onComplete(Result result) {
            report(outcome(result, getContent()), callback);
          }
        });
  }

  /** Reports an outcome; if the callback can't handle it, reports that there was no response. */
  private static void report(HttpOutcome outcome, Consumer<HttpOutcome> callback) {
    try {
      callback.accept(outcome);
    } catch (RuntimeException e) {
      LogLine.of("response-unusable").error(LOG, e);
      callback.accept(new HttpOutcome.NoResponse("the response could not be handled: " + e));
    }
  }

  private Request jettyRequest(OutgoingRequest request) {
    Request jettyRequest =
        client
            .newRequest("http://" + request.address() + request.path())
            .method(request.method())
            .timeout(request.timeout().toNanos(), TimeUnit.NANOSECONDS);
    request
        .headers()
        .forEach((name, value) -> jettyRequest.headers(fields -> fields.put(name, value)));
    jettyRequest.headers(fields -> fields.remove(HttpHeader.ACCEPT));
    if (request.body().length > 0 || "POST".equals(request.method())) {
      jettyRequest.body(
          new ByteBufferRequestContent(request.mediaType(), ByteBuffer.wrap(request.body())));
    }
    return jettyRequest;
  }

  /**
   * Sends a request and waits for its outcome.
   *
   * @param request the request
   * @return the outcome
   * @throws InterruptedException if the thread is interrupted while it waits
   */
  public HttpOutcome sendAndWait(OutgoingRequest request) throws InterruptedException {
    CompletableFuture<HttpOutcome> future = new CompletableFuture<>();
    send(request, future::complete);
    try {
      return future.get();
    } catch (ExecutionException e) {
      throw new IllegalStateException("the callback of a request failed", e);
    }
  }

  private static HttpOutcome outcome(Result result, byte @Nullable [] body) {
    Throwable failure = result.getFailure();
    if (failure == null) {
      return new HttpOutcome.Responded(
          result.getResponse().getStatus(), body == null ? new byte[0] : body);
    }
    String reason = failure.getClass().getSimpleName() + ": " + failure.getMessage();
    return failure instanceof ConnectException
        ? new HttpOutcome.ConnectionRefused(reason)
        : new HttpOutcome.NoResponse(reason);
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
