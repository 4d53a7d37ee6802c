package dev.toucanstall.runtime.http;

import static com.google.common.truth.Truth.assertThat;

import dev.toucanstall.core.model.Address;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.junit.jupiter.api.Test;

final class AsyncHttpClientTest {

  private static final long TIMEOUT_SECONDS = 10;
  private static final int REQUESTS = 20;

  private static Thread callbackThread(AsyncHttpClient client, Address address) throws Exception {
    CompletableFuture<Thread> thread = new CompletableFuture<>();
    client.send(
        new AsyncHttpClient.OutgoingRequest(
            "GET", address, "/x", Map.of(), "", new byte[0], Duration.ofSeconds(TIMEOUT_SECONDS)),
        outcome -> thread.complete(Thread.currentThread()));
    return thread.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private static AsyncHttpClient.OutgoingRequest get(Address address, String path) {
    return new AsyncHttpClient.OutgoingRequest(
        "GET", address, path, Map.of(), "", new byte[0], Duration.ofSeconds(TIMEOUT_SECONDS));
  }

  /** Guards against a request without an outcome, whose sender waits for it for good. */
  @Test
  void requestThatCannotBeSentHasAnOutcome() {
    try (AsyncHttpClient client = new AsyncHttpClient("test-client", 1)) {
      List<HttpOutcome> outcomes = new ArrayList<>();
      client.send(get(new Address("127.0.0.1", 1), "/ is no path"), outcomes::add);
      assertThat(outcomes).hasSize(1);
      assertThat(outcomes.getFirst()).isInstanceOf(HttpOutcome.ConnectionRefused.class);
    }
  }

  /** Guards against the same after a response that the callback can't handle. */
  @Test
  void responseThatCannotBeHandledIsReportedAsNoResponse() throws Exception {
    CompletableFuture<HttpOutcome> second = new CompletableFuture<>();
    AtomicInteger calls = new AtomicInteger();
    try (AsyncHttpClient client = new AsyncHttpClient("test-client", 1)) {
      client.send(
          get(new Address("127.0.0.1", 1), "/x"),
          outcome -> {
            if (calls.getAndIncrement() == 0) {
              throw new IllegalStateException("unusable");
            }
            second.complete(outcome);
          });
      assertThat(second.get(TIMEOUT_SECONDS, TimeUnit.SECONDS))
          .isInstanceOf(HttpOutcome.NoResponse.class);
    }
  }

  // A handover to other threads delayed the outcomes while the planner's processor was busy.
  @Test
  void callbacksAreNotHandedToOtherThreads() throws Exception {
    Server server = new Server();
    ServerConnector connector = new ServerConnector(server);
    connector.setHost("127.0.0.1");
    server.addConnector(connector);
    server.setHandler(
        new RouteHandler(List.of(new Route("GET", "/x", request -> RouteResponse.text(200, "x")))));
    server.start();
    Address address = new Address("127.0.0.1", connector.getLocalPort());
    try (AsyncHttpClient client = new AsyncHttpClient("test-client", 1)) {
      Set<Thread> threads = new HashSet<>();
      for (int i = 0; i < REQUESTS; i++) {
        threads.add(callbackThread(client, address));
      }
      threads.remove(Thread.currentThread());
      assertThat(threads.stream().anyMatch(Thread::isVirtual)).isFalse();
      assertThat(threads.size()).isAtMost(1);
    } finally {
      server.stop();
    }
  }
}
