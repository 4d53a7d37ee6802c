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

/** Sends whole HTTP requests and waits for whole answers. Thread-safe. */
public final class BlockingHttpClient implements AutoCloseable {

  private static final int MAX_ANSWER_BYTES = 64 << 20;

  private final HttpClient client;

  /**
   * Creates a client.
   *
   * @param name the prefix of its threads' names
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
   * An answer.
   *
   * @param status the HTTP status
   * @param body the body as text
   */
  public record Response(int status, String body) {

    private static final int OK = 200;

    /**
     * Tells whether the status is 200.
     *
     * @return true if so
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
   * @param timeout how long to wait
   * @return the answer
   * @throws IOException if there is no whole answer in time
   * @throws InterruptedException if the thread is interrupted meanwhile
   */
  public Response send(String method, String url, Duration timeout)
      throws IOException, InterruptedException {
    return send(client.newRequest(url).method(method), timeout);
  }

  /**
   * Sends a request with a body and an authorization.
   *
   * @param method the HTTP method
   * @param url the URL
   * @param authorization the header of that name, not sent if empty
   * @param body the body as text
   * @param timeout how long to wait
   * @return the answer
   * @throws IOException if there is no whole answer in time
   * @throws InterruptedException if the thread is interrupted meanwhile
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
          new CompletableResponseListener(request, MAX_ANSWER_BYTES)
              .send()
              .get(timeout.toNanos() * 2, TimeUnit.NANOSECONDS);
      return new Response(response.getStatus(), response.getContentAsString());
    } catch (ExecutionException | TimeoutException e) {
      throw new IOException("%s has no answer".formatted(request.getURI()), e);
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
