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

/** Speaks to the platform's instance list and task interface over HTTP. Thread-safe. */
public final class FleetClient {

  private static final JsonCodec<ListProtocol.Listed> LISTED =
      JsonCodec.of(ListProtocol.Listed.class);

  private final BlockingHttpClient calls;
  private final String url;
  private final Duration timeout;

  /**
   * Creates a client.
   *
   * @param calls sends the requests
   * @param url the URL of the service, without a slash at its end
   * @param timeout how long to wait for an answer
   */
  public FleetClient(BlockingHttpClient calls, String url, Duration timeout) {
    this.calls = calls;
    this.url = url;
    this.timeout = timeout;
  }

  /**
   * Reads the list of instances.
   *
   * @return the instances
   * @throws IOException if there is no well-formed answer in time
   * @throws InterruptedException if the thread is interrupted meanwhile
   */
  public List<Observation> listInstances() throws IOException, InterruptedException {
    BlockingHttpClient.Response reply = calls.send("GET", url + "/instances", timeout);
    if (!reply.isOk()) {
      throw new IOException("list answered with status %d".formatted(reply.status()));
    }
    return switch (LISTED.decode(reply.body())) {
      case Decoded.Value<ListProtocol.Listed> value -> value.value().instances();
      case Decoded.Malformed<ListProtocol.Listed> malformed ->
          throw new IOException("list answered with " + malformed.reason());
    };
  }

  /**
   * Asks the platform to restart an instance; asking again for the same start has no effect.
   *
   * @param instance the instance
   * @param incarnation the start of it that is to end
   * @throws IOException if the platform does not say that it will
   * @throws InterruptedException if the thread is interrupted meanwhile
   */
  public void restart(InstanceId instance, long incarnation)
      throws IOException, InterruptedException {
    String query = "/instances/%s/restart?incarnation=%d".formatted(instance.value(), incarnation);
    BlockingHttpClient.Response reply = calls.send("POST", url + query, timeout);
    if (!reply.isOk()) {
      throw new IOException("restart answered with status %d".formatted(reply.status()));
    }
  }
}
