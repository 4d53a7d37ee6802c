package dev.toucanstall.runtime.http;

import static com.google.common.truth.Truth.assertThat;

import dev.toucanstall.core.model.Address;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.junit.jupiter.api.Test;

final class AsyncHttpClientTest {

  private static final long WAIT_S = 10;
  private static final int ANSWERS = 20;

  private static Thread tells(AsyncHttpClient calls, Address address) throws Exception {
    CompletableFuture<Thread> told = new CompletableFuture<>();
    calls.send(
        new AsyncHttpClient.OutgoingRequest(
            "GET", address, "/x", Map.of(), "", new byte[0], Duration.ofSeconds(WAIT_S)),
        outcome -> told.complete(Thread.currentThread()));
    return told.get(WAIT_S, TimeUnit.SECONDS);
  }

  // Guards against answers that waited for other threads while the planner's processor was busy.
  @Test
  void answersAreToldWithoutHandingThemToOtherThreads() throws Exception {
    Server server = new Server();
    ServerConnector connector = new ServerConnector(server);
    connector.setHost("127.0.0.1");
    server.addConnector(connector);
    server.setHandler(
        new RouteHandler(List.of(new Route("GET", "/x", call -> RouteResponse.text(200, "x")))));
    server.start();
    Address address = new Address("127.0.0.1", connector.getLocalPort());
    try (AsyncHttpClient calls = new AsyncHttpClient("test-client", 1)) {
      Set<Thread> told = new HashSet<>();
      for (int i = 0; i < ANSWERS; i++) {
        told.add(tells(calls, address));
      }
      told.remove(Thread.currentThread());
      assertThat(told.stream().anyMatch(Thread::isVirtual)).isFalse();
      assertThat(told.size()).isAtMost(1);
    } finally {
      server.stop();
    }
  }
}
