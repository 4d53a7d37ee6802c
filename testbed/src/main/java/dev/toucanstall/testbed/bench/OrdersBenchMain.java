package dev.toucanstall.testbed.bench;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.sun.management.OperatingSystemMXBean;
import com.sun.management.ThreadMXBean;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import dev.toucanstall.core.job.Resources;
import dev.toucanstall.core.job.ServerEntry;
import dev.toucanstall.core.job.TaskKey;
import dev.toucanstall.core.model.Address;
import dev.toucanstall.core.plan.LeaseRenewalResult;
import dev.toucanstall.core.plan.OrderResult;
import dev.toucanstall.core.plan.PlanEffect;
import dev.toucanstall.platform.orders.OrderClient;
import dev.toucanstall.runtime.http.AsyncHttpClient;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Benchmarks the sending of starts and lease renewals to backend servers, without the reducer:
 * processor time of the process for each order, by kind of thread. The backend servers are another
 * process that answers at once.
 */
public final class OrdersBenchMain {

  private static final double NANOS_PER_MICRO = 1_000;
  private static final int NANOS_PER_MS = 1_000_000;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long LAST_ANSWERS_WAIT_MS = 500;
  private static final long MIN_SLEEP_MS = 2;
  private static final int OK = 200;
  private static final int CONNECTIONS = 4;
  private static final int TEXT_BYTES = 600;

  /** Command-line options. */
  private static final class Options {

    @Parameter(names = "--serve", description = "Be the backend servers, on this port")
    int serve;

    @Parameter(names = "--port", description = "The port of the backend servers")
    int port = 28_900;

    @Parameter(names = "--servers", description = "Backend servers, each with its own address")
    int servers = 247;

    @Parameter(names = "--per-s", description = "Orders a second, half of them starts")
    int ordersPerSecond = 900;

    @Parameter(names = "--seconds", description = "Length, the first third is not measured")
    int seconds = 30;

    @Parameter(names = "--out", description = "The result file")
    String out = "";
  }

  private final ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
  private final OperatingSystemMXBean system =
      (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
  private final AtomicLong answered = new AtomicLong();
  private final AtomicLong failed = new AtomicLong();
  private final String text = "x".repeat(TEXT_BYTES);
  private final Options options;

  private OrdersBenchMain(Options options) {
    this.options = options;
  }

  /**
   * Runs the benchmark or the backend servers.
   *
   * @param args command-line options
   * @throws Exception if a connection or a file fails
   */
  public static void main(String[] args) throws Exception {
    Options options = new Options();
    JCommander.newBuilder().addObject(options).build().parse(args);
    if (options.serve > 0) {
      serve(options.serve);
    } else {
      new OrdersBenchMain(options).run(String.join(" ", args));
    }
  }

  private static void serve(int port) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress("0.0.0.0", port), 0);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    String rows = "[\"job-12345.0.0.1\",1,\"\",50,0]";
    byte[] lists =
        ("{\"born\":1,\"clockMs\":1000,\"running\":["
                + String.join(",", rows, rows, rows, rows)
                + "],\"finished\":[[7,\"job-12345.0.0.2\",1,\"done\",\"\"]]}")
            .getBytes(StandardCharsets.UTF_8);
    byte[] start = "{\"clockMs\":1000}".getBytes(StandardCharsets.UTF_8);
    server.createContext("/-/hold", exchange -> answer(exchange, lists));
    server.createContext("/", exchange -> answer(exchange, start));
    server.start();
  }

  private static void answer(HttpExchange exchange, byte[] body) throws IOException {
    try (exchange) {
      exchange.getRequestBody().readAllBytes();
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(OK, body.length);
      exchange.getResponseBody().write(body);
    }
  }

  private void run(String command) throws InterruptedException {
    TreeMap<String, Double> values = new TreeMap<>();
    try (AsyncHttpClient calls = new AsyncHttpClient("orders", CONNECTIONS)) {
      OrderClient orders = new OrderClient(calls);
      send(orders, options.seconds / 3);
      final Map<String, Long> threadCpuBefore = cpuNanosByThread();
      final long processCpuBefore = system.getProcessCpuTime();
      final long answeredBefore = answered.get();
      final long failedBefore = failed.get();
      send(orders, options.seconds - options.seconds / 3);
      double count = answered.get() - answeredBefore;
      values.put(
          "order.process.us",
          (system.getProcessCpuTime() - processCpuBefore) / NANOS_PER_MICRO / count);
      cpuNanosByThread()
          .forEach(
              (name, ns) ->
                  values.put(
                      "order." + name + ".us",
                      (ns - threadCpuBefore.getOrDefault(name, 0L)) / NANOS_PER_MICRO / count));
      values.put("orders", count);
      values.put("orders.failed", (double) (failed.get() - failedBefore));
    }
    values.forEach((name, value) -> System.out.printf("%-36s %.1f%n", name, value));
    if (!options.out.isEmpty()) {
      new ResultFile("orders", command, 0, values).write(options.out);
    }
    System.exit(0);
  }

  private Map<String, Long> cpuNanosByThread() {
    Map<String, Long> sums = new HashMap<>();
    for (long id : threads.getAllThreadIds()) {
      ThreadInfo info = threads.getThreadInfo(id);
      if (info != null) {
        String name = info.getThreadName().replaceAll("[-0-9@].*", "").replace(' ', '-');
        sums.merge(name.toLowerCase(Locale.ROOT), threads.getThreadCpuTime(id), Long::sum);
      }
    }
    return sums;
  }

  private void send(OrderClient orders, int seconds) throws InterruptedException {
    long startedAt = System.nanoTime();
    int total = options.ordersPerSecond * seconds;
    for (int i = 0; i < total; i++) {
      long dueAt = startedAt + (long) (i * NANOS_PER_SECOND / options.ordersPerSecond);
      long waitMs = (dueAt - System.nanoTime()) / NANOS_PER_MS;
      if (waitMs > MIN_SLEEP_MS) {
        Thread.sleep(waitMs);
      }
      sendOrder(orders, i);
    }
    Thread.sleep(LAST_ANSWERS_WAIT_MS);
  }

  private void sendOrder(OrderClient orders, int number) {
    ServerEntry server = server(number % options.servers);
    if (number % 2 == 0) {
      TaskKey task = new TaskKey("job-" + number, 0, 0, 1);
      orders.start(
          new PlanEffect.Start(server, 1, task, 1, text, "", 5_000),
          result -> onResult(result instanceof OrderResult.Obeyed));
    } else {
      orders.renewLease(
          new PlanEffect.Hold(server, 1, 0, 5_000, 0),
          result -> onResult(result instanceof LeaseRenewalResult.Listed));
    }
  }

  private void onResult(boolean succeeded) {
    answered.incrementAndGet();
    if (!succeeded) {
      failed.incrementAndGet();
    }
  }

  private ServerEntry server(int index) {
    Address address = new Address("127.0.1." + (index + 1), options.port);
    return new ServerEntry("w" + index, 1, "s", address, "dc", false, Resources.NONE, Set.of(), 0);
  }
}
