package dev.toucanstall.testbed.bench;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import dev.toucanstall.core.model.Address;
import dev.toucanstall.entry.traffic.Headers;
import dev.toucanstall.runtime.http.HttpServers;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.InputStreamResponseListener;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Minimal reverse proxy on the same Jetty server and client as the entry instance, without any
 * decisions: the baseline for measurements of the entry instance.
 */
public final class PassThroughMain extends Handler.Abstract {

  private static final long TIMEOUT_SECONDS = 30;

  @Parameter(names = "--address", description = "Where it listens")
  private String address = "127.0.0.1:8900";

  @Parameter(names = "--backend", description = "The backend servers, used in turn")
  private List<String> backends = new ArrayList<>(List.of("127.0.0.1:7101"));

  private final HttpClient client = new HttpClient();
  private final AtomicInteger requestCount = new AtomicInteger();

  private PassThroughMain() {}

  /**
   * Runs until the process ends.
   *
   * @param args command-line options
   * @throws Exception if it does not start
   */
  public static void main(String[] args) throws Exception {
    PassThroughMain main = new PassThroughMain();
    JCommander.newBuilder().addObject(main).build().parse(args);
    main.client.setExecutor(HttpServers.newThreadPool("backends"));
    main.client.setMaxConnectionsPerDestination(64);
    main.client.start();
    var server = HttpServers.newServer("callers", Address.parse(main.address), main);
    server.start();
    server.join();
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) throws IOException {
    byte[] body;
    try (InputStream in = Content.Source.asInputStream(request)) {
      body = in.readAllBytes();
    }
    int next = Math.floorMod(requestCount.getAndIncrement(), backends.size());
    InputStreamResponseListener listener = new InputStreamResponseListener();
    client
        .newRequest("http://" + backends.get(next) + request.getHttpURI().getPathQuery())
        .method(request.getMethod())
        .headers(headers -> headers.put(Headers.ATTEMPT_ID, "bare"))
        .body(new BytesRequestContent("application/octet-stream", body))
        .send(listener);
    try {
      var answer = listener.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      response.setStatus(answer.getStatus());
      byte[] bytes = listener.getInputStream().readAllBytes();
      response.write(true, ByteBuffer.wrap(bytes), callback);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      callback.failed(e);
    } catch (ExecutionException | TimeoutException e) {
      callback.failed(e);
    }
    return true;
  }
}
