package dev.toucanstall.runtime.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpHeader;

/** Sends HTTP requests and waits for the complete responses. Thread-safe. */
public final class BlockingHttpClient implements AutoCloseable {

  private static final int MAX_RESPONSE_BYTES = 64 << 20;

  private final HttpClient client;

  /**
   * Creates a client.
   *
   * @param name prefix of the names of the client's threads
   * @throws IllegalStateException if the client does not start
   */
  public BlockingHttpClient(String name) {
    client = new HttpClient();
    client.setExecutor(HttpServers.newThreadPool(name));
    client.setFollowRedirects(false);
    try {
      client.start();
    } catch (Exception e) {
      throw new IllegalStateException("HTTP client \"%s\" did not start".formatted(name), e);
    }
  }

  /**
   * A complete response.
   *
   * @param status the HTTP status code
   * @param body the body as text
   */
  public record Response(int status, String body) {

    private static final int OK = 200;

    /**
     * Returns whether the status is 200.
     *
     * @return true if the status is 200
     */
    public boolean isOk() {
      return status == OK;
    }
  }

  /**
   * Sends a request without a body.
   *
   * @param method the HTTP method
   * @param url the URL
   * @param timeout maximum time until the complete response
   * @return the response
   * @throws IOException if no complete response is received in time
   * @throws InterruptedException if the thread is interrupted while it waits
   */
  public Response send(String method, String url, Duration timeout)
      throws IOException, InterruptedException {
    return send(client.newRequest(url).method(method), timeout);
  }

  /**
   * Sends a request with a body in JSON.
   *
   * @param method the HTTP method
   * @param url the URL
   * @param authorization value of the Authorization header, not sent if empty
   * @param body the JSON text
   * @param timeout maximum time until the complete response
   * @return the response
   * @throws IOException if no complete response is received in time
   * @throws InterruptedException if the thread is interrupted while it waits
   */
  public Response send(
      String method, String url, String authorization, String body, Duration timeout)
      throws IOException, InterruptedException {
    Request request =
        client
            .newRequest(url)
            .method(method)
            .body(
                new BytesRequestContent("application/json", body.getBytes(StandardCharsets.UTF_8)));
    if (!authorization.isEmpty()) {
      request.headers(headers -> headers.put(HttpHeader.AUTHORIZATION, authorization));
    }
    return send(request, timeout);
  }

  private static Response send(Request request, Duration timeout)
      throws IOException, InterruptedException {
    request.timeout(timeout.toNanos(), TimeUnit.NANOSECONDS);
    try {
      ContentResponse response =
          new CompletableResponseListener(request, MAX_RESPONSE_BYTES)
              .send()
              .get(timeout.toNanos() * 2, TimeUnit.NANOSECONDS);
      return new Response(response.getStatus(), response.getContentAsString());
    } catch (ExecutionException | TimeoutException e) {
      throw new IOException("no complete response from %s".formatted(request.getURI()), e);
    }
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
