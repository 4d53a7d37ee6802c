package dev.toucanstall.testbed.load;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import dev.toucanstall.entry.traffic.Headers;
import dev.toucanstall.runtime.http.HttpServers;
import dev.toucanstall.runtime.loop.ControlLoop;
import dev.toucanstall.testbed.bench.ResultFile;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpHeader;
import org.jspecify.annotations.Nullable;

/** Sends an open-loop load to entry instances and writes a result file. */
public final class LoadMain {

  private static final Duration TICK_INTERVAL = Duration.ofMillis(1);
  private static final long MAX_LATENCY_MICROS = TimeUnit.MINUTES.toMicros(10);
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final int MAX_CONNECTIONS = 2_000;
  private static final double MICROS_PER_MILLI = 1_000;

  @Parameter(names = "--entry", description = "URLs of entry instances, used in turn")
  private List<String> entries = new ArrayList<>(List.of("http://127.0.0.1:8010"));

  @Parameter(
      names = "--stream",
      description =
          "name=a;key=K;service=s;rate=50;ms=20;urgency=urgent;deadline=10000;named=false")
  private List<String> streams = new ArrayList<>();

  @Parameter(names = "--seconds", description = "How long requests are sent")
  private long seconds = 10;

  @Parameter(names = "--burst-seconds", description = "Length of bursts, 0 for a steady load")
  private long burstSeconds;

  @Parameter(names = "--seed", description = "The seed of the gaps")
  private long seed = 1;

  @Parameter(names = "--out", description = "The result file")
  private String out = "";

  @Parameter(names = "--name", description = "The name of the run in the result file")
  private String name = "load";

  private final Map<String, ConcurrentHistogram> latencies = new ConcurrentHashMap<>();
  private final Map<String, LongAdder> counts = new ConcurrentHashMap<>();
  private final CountDownLatch done = new CountDownLatch(1);
  private final HttpClient client = new HttpClient();

  private LoadMain() {}

  /**
   * Sends the load.
   *
   * @param args command-line options
   * @throws Exception if the client does not start or stop
   */
  public static void main(String[] args) throws Exception {
    LoadMain main = new LoadMain();
    JCommander.newBuilder().addObject(main).build().parse(args);
    main.run(String.join(" ", args));
  }

  private void run(String command) throws Exception {
    client.setExecutor(HttpServers.newThreadPool("load"));
    client.setMaxConnectionsPerDestination(MAX_CONNECTIONS);
    client.setMaxRequestsQueuedPerDestination(Integer.MAX_VALUE);
    client.start();
    List<RequestStream> parsed = streams.stream().map(RequestStream::parse).toList();
    BurstSchedule bursts =
        new BurstSchedule(burstSeconds > 0, Duration.ofSeconds(Math.max(1, burstSeconds)));
    LoadState state =
        LoadState.initial(parsed, bursts, System.nanoTime(), Duration.ofSeconds(seconds).toNanos());
    try (var loop = loop(state, parsed)) {
      loop.start();
      done.await();
    }
    client.stop();
    report(command);
  }

  private ControlLoop<LoadState, LoadEvent, LoadEffect> loop(
      LoadState state, List<RequestStream> parsed) {
    LoopHolder holder = new LoopHolder();
    holder.loop =
        new ControlLoop<>(
            "load",
            state,
            new LoadReducer(seed)::reduce,
            effect -> carryOut(effect, parsed, holder),
            (event, e) -> count("decision-failed"),
            TICK_INTERVAL,
            LoadEvent.Tick::new);
    return holder.loop;
  }

  /** Holds the loop, which its own effect handler needs before the constructor has returned. */
  private static final class LoopHolder {
    private @Nullable ControlLoop<LoadState, LoadEvent, LoadEffect> loop;
  }

  private void carryOut(LoadEffect effect, List<RequestStream> parsed, LoopHolder holder) {
    switch (effect) {
      case LoadEffect.Finish end -> done.countDown();
      case LoadEffect.SendRequest send ->
          send(parsed.get(send.stream()), send, Objects.requireNonNull(holder.loop));
    }
  }

  private void send(
      RequestStream stream,
      LoadEffect.SendRequest send,
      ControlLoop<LoadState, LoadEvent, LoadEffect> loop) {
    String entry = entries.get((int) (send.number() % entries.size()));
    Request request =
        client
            .newRequest(
                "%s/s/%s/run?ms=%d".formatted(entry, stream.service(), stream.serviceMillis()))
            .method("POST")
            .body(new BytesRequestContent("text/plain", new byte[100]))
            .timeout(stream.deadlineMillis() * 2, TimeUnit.MILLISECONDS);
    request.headers(
        headers -> {
          if (!stream.key().isEmpty()) {
            headers.put(HttpHeader.AUTHORIZATION, "Bearer " + stream.key());
          }
          headers.put(Headers.URGENCY, stream.urgency());
          headers.put(Headers.DEADLINE_MS, String.valueOf(stream.deadlineMillis()));
          headers.put(Headers.IDEMPOTENT, String.valueOf(!stream.hasRequestIds()));
          if (stream.hasRequestIds()) {
            headers.put(
                Headers.REQUEST_ID,
                "%s-%d-%d".formatted(stream.name(), loop.hashCode(), send.number()));
          }
        });
    request.send(result -> finished(stream, send, result, loop));
  }

  private void finished(
      RequestStream stream,
      LoadEffect.SendRequest send,
      Result result,
      ControlLoop<LoadState, LoadEvent, LoadEffect> loop) {
    long now = System.nanoTime();
    String outcome =
        result.isFailed() ? "connection-failed" : String.valueOf(result.getResponse().getStatus());
    count(stream.name() + ".status-" + outcome + ".count");
    if (outcome.equals("200")) {
      long micros = TimeUnit.NANOSECONDS.toMicros(now - send.dueAt());
      latencies
          .computeIfAbsent(
              stream.name(), n -> new ConcurrentHistogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS))
          .recordValue(Math.clamp(micros, 0, MAX_LATENCY_MICROS));
    }
    loop.post(new LoadEvent.RequestFinished(now));
  }

  private void count(String counter) {
    counts.computeIfAbsent(counter, k -> new LongAdder()).increment();
  }

  private void report(String command) {
    TreeMap<String, Double> values = new TreeMap<>();
    counts.forEach((key, count) -> values.put(key, (double) count.sum()));
    latencies.forEach(
        (stream, histogram) -> {
          values.put(stream + ".p50.ms", histogram.getValueAtPercentile(50) / MICROS_PER_MILLI);
          values.put(stream + ".p99.ms", histogram.getValueAtPercentile(99) / MICROS_PER_MILLI);
          values.put(stream + ".max.ms", histogram.getMaxValue() / MICROS_PER_MILLI);
          values.put(stream + ".ok.per.s", histogram.getTotalCount() / (double) seconds);
        });
    values.forEach((key, value) -> System.out.printf("%-40s %.3f%n", key, value));
    if (!out.isEmpty()) {
      new ResultFile(name, command, seed, values).write(out);
    }
  }
}
