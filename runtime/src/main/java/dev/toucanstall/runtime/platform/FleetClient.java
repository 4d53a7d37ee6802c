package dev.toucanstall.runtime.platform;

import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.record.Observation;
import dev.toucanstall.runtime.http.BlockingHttpClient;
import dev.toucanstall.wire.Decoded;
import dev.toucanstall.wire.json.JsonCodec;
import dev.toucanstall.wire.json.ListProtocol;
import java.io.IOException;
import java.time.Duration;
import java.util.List;

/** HTTP client of the platform's instance list and task interface. Thread-safe. */
public final class FleetClient {

  private static final JsonCodec<ListProtocol.Listed> LIST_CODEC =
      JsonCodec.of(ListProtocol.Listed.class);

  private final BlockingHttpClient client;
  private final String url;
  private final Duration timeout;

  /**
   * Creates a client.
   *
   * @param client sends the requests
   * @param url URL of the service, without a trailing slash
   * @param timeout maximum time until the response to a request
   */
  public FleetClient(BlockingHttpClient client, String url, Duration timeout) {
    this.client = client;
    this.url = url;
    this.timeout = timeout;
  }

  /**
   * Reads the list of instances.
   *
   * @return the instances
   * @throws IOException if no well-formed response with status 200 is received in time
   * @throws InterruptedException if the thread is interrupted while it waits
   */
  public List<Observation> listInstances() throws IOException, InterruptedException {
    BlockingHttpClient.Response response = client.send("GET", url + "/instances", timeout);
    if (!response.isOk()) {
      throw new IOException("instance list returned status %d".formatted(response.status()));
    }
    return switch (LIST_CODEC.decode(response.body())) {
      case Decoded.Value<ListProtocol.Listed> value -> value.value().instances();
      case Decoded.Malformed<ListProtocol.Listed> malformed ->
          throw new IOException(
              "instance list returned a malformed response: " + malformed.reason());
    };
  }

  /**
   * Requests a restart of an instance. Idempotent: a repeated request for the same incarnation has
   * no effect.
   *
   * @param instance the instance
   * @param incarnation incarnation of the instance to end
   * @throws IOException if the platform does not confirm the request in time
   * @throws InterruptedException if the thread is interrupted while it waits
   */
  public void restart(InstanceId instance, long incarnation)
      throws IOException, InterruptedException {
    String path = "/instances/%s/restart?incarnation=%d".formatted(instance.value(), incarnation);
    BlockingHttpClient.Response response = client.send("POST", url + path, timeout);
    if (!response.isOk()) {
      throw new IOException("restart request returned status %d".formatted(response.status()));
    }
  }
}
