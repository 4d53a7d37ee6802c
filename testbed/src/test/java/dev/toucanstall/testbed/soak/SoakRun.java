package dev.toucanstall.testbed.soak;

import dev.toucanstall.core.model.Address;
import dev.toucanstall.runtime.http.HttpServers;
import dev.toucanstall.runtime.log.LogLine;
import dev.toucanstall.runtime.loop.ControlLoop;
import dev.toucanstall.runtime.loop.PendingQueries;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.eclipse.jetty.server.Server;

/** One soak: starts the stand-ins, proxies, entry processes and clients and plays the plan. */
final class SoakRun implements AutoCloseable {

  private static final Logger LOG = LogManager.getLogger(SoakRun.class);
  private static final Duration TICK_INTERVAL = Duration.ofMillis(5);
  private static final Duration QUERY_TIMEOUT = Duration.ofSeconds(10);
  private static final long READY_MILLIS = 90_000;
  private static final long WARM_UP_MILLIS = 2_500;
  private static final long POLL_MILLIS = 300;
  private static final int MIN_ACCEPTED = 10;
  private static final int CLIENTS = 4;

  private final Options options;
  private final long startNanos = System.nanoTime();
  private final PrintWriter record;
  private final List<String> breaks = new ArrayList<>();
  private final PendingQueries<SoakEffect.Report> reports = new PendingQueries<>();
  private final ControlLoop<SoakState, SoakEvent, SoakEffect> loop;
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  private final ScheduledExecutorService signals = Executors.newSingleThreadScheduledExecutor();
  private final ExecutorService links = Executors.newSingleThreadExecutor();
  private final StandInHandler handler = new StandInHandler(this::post, this::millis);
  private final Server server;
  private final Map<List<Integer>, FaultProxy> proxies = new HashMap<>();
  private final List<EntryProcess> entries = new ArrayList<>();
  private final SoakClients clients;

  /**
   * What to play.
   *
   * @param seed seed of the plan, the choices of targets and the clients
   * @param entries number of entry instances
   * @param servers number of backend servers
   * @param faultMillis time in which faults begin, in milliseconds
   * @param settleMillis time after it in which accepted work has to complete, in milliseconds
   * @param java path of the Java launcher of the entry processes
   * @param classPath class path of the entry processes
   * @param lateOrdersReachNextIncarnation whether an order that is carried out late may reach a
   *     later incarnation under the same id
   * @param plan returns the faults by the time in which they begin, in milliseconds
   */
  record Options(
      long seed,
      int entries,
      int servers,
      long faultMillis,
      long settleMillis,
      String java,
      String classPath,
      boolean lateOrdersReachNextIncarnation,
      LongFunction<List<FaultPlan.Step>> plan) {}

  /**
   * Starts the stand-ins and writes the files of the entry processes.
   *
   * @param options what to play
   * @param folder folder of the logs and the record
   * @throws IOException if an address is in use or a file can't be written
   */
  SoakRun(Options options, Path folder) throws IOException {
    this.options = options;
    record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
    int standInPort = EntryProcess.freePorts(1);
    int proxyPort = EntryProcess.freePorts(1);
    loop =
        new ControlLoop<>(
            "soak",
            new SoakState(
                options.seed(),
                options.entries(),
                options.servers(),
                proxyPort,
                options.lateOrdersReachNextIncarnation()),
            SoakReducer::reduce,
            this::carryOut,
            (event, e) -> LogLine.of("soak-failed").with("event", event).error(LOG, e),
            TICK_INTERVAL,
            nanos -> new SoakEvent.Tick(TimeUnit.NANOSECONDS.toMillis(nanos - startNanos)));
    server = HttpServers.newServer("stand-in", new Address("127.0.0.1", standInPort), handler);
    try {
      server.start();
    } catch (Exception e) {
      throw new IOException("the stand-in did not start at port " + standInPort, e);
    }
    for (int entry = 0; entry < options.entries(); entry++) {
      for (int target = 0; target <= options.servers(); target++) {
        proxies.put(
            List.of(entry, target),
            new FaultProxy(entry, target, proxyPort, standInPort, options.seed()));
      }
      entries.add(
          new EntryProcess(
              entry, folder, options.java(), options.classPath(), options.servers(), proxyPort));
    }
    clients = new SoakClients(entries, this::post, this::millis);
    loop.start();
  }

  private long millis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }

  private void post(SoakEvent event) {
    loop.post(event);
  }

  private void carryOut(SoakEffect effect) {
    switch (effect) {
      case SoakEffect.Reply reply -> handler.complete(reply);
      case SoakEffect.Report report -> reports.complete(report.handle(), report);
      case SoakEffect.PostLater later -> postLater(later.event(), later.delayMillis());
      case SoakEffect.SignalEntry signal -> signalLater(signal);
      case SoakEffect.SetLink link -> links.execute(() -> setLink(link));
      case SoakEffect.Note note -> write(note);
    }
  }

  private void postLater(SoakEvent event, long delayMillis) {
    ScheduledFuture<?> unused =
        timer.schedule(() -> post(event), delayMillis, TimeUnit.MILLISECONDS);
  }

  private void signalLater(SoakEffect.SignalEntry signal) {
    ScheduledFuture<?> unused =
        signals.schedule(() -> signal(signal), signal.delayMillis(), TimeUnit.MILLISECONDS);
  }

  private void signal(SoakEffect.SignalEntry signal) {
    EntryProcess entry = entries.get(signal.entry());
    try {
      boolean done =
          switch (signal.signal()) {
            case START -> entry.start();
            case KILL -> entry.kill();
            case FREEZE -> entry.signal("STOP");
            case THAW -> entry.signal("CONT");
          };
      if (!done) {
        LogLine.of("signal-without-effect").with("signal", signal).warn(LOG);
      }
    } catch (IOException e) {
      LogLine.of("signal-failed").with("signal", signal).error(LOG, e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void setLink(SoakEffect.SetLink link) {
    FaultProxy proxy = proxies.get(List.of(link.entry(), link.target()));
    try {
      if (proxy != null) {
        proxy.setMode(link.mode());
      }
    } catch (IOException e) {
      LogLine.of("link-failed").with("link", link).error(LOG, e);
    }
  }

  private void write(SoakEffect.Note note) {
    String line = "%9.3f %s".formatted(note.at() / 1e3, note.text());
    record.println(line);
    if (note.isBreak()) {
      record.flush();
      synchronized (breaks) {
        breaks.add(line);
      }
    }
  }

  /**
   * Plays the soak.
   *
   * @return the breaks, in the order in which they were seen
   * @throws IOException if the soak could not run
   * @throws InterruptedException if the thread is interrupted
   */
  List<String> play() throws IOException, InterruptedException {
    record.println("times are seconds since " + Instant.now().minusMillis(millis()));
    for (EntryProcess entry : entries) {
      entry.start();
    }
    awaitReady();
    clients.start(CLIENTS, options.seed());
    Thread.sleep(WARM_UP_MILLIS);
    long begin = millis();
    for (FaultPlan.Step step : options.plan().apply(options.faultMillis())) {
      long delay = begin + step.atMs() - millis();
      postLater(new SoakEvent.FaultBegins(begin + step.atMs(), step.fault()), delay);
    }
    Thread.sleep(options.faultMillis());
    post(new SoakEvent.FaultsEnd(millis()));
    clients.stop();
    awaitCompletion();
    ask(handle -> new SoakEvent.FinalChecks(millis(), handle));
    synchronized (breaks) {
      return List.copyOf(breaks);
    }
  }

  private void awaitReady() throws IOException, InterruptedException {
    for (EntryProcess entry : entries) {
      while (!clients.isReady(entry)) {
        if (millis() > READY_MILLIS) {
          throw new IOException("an entry process is not ready after %d ms".formatted(millis()));
        }
        Thread.sleep(POLL_MILLIS);
      }
    }
  }

  /** Asks for open jobs until none is left, or until the time is over. */
  private void awaitCompletion() throws IOException, InterruptedException {
    long until = millis() + options.settleMillis();
    SoakEffect.Open open = showOpen();
    if (open.accepted() < MIN_ACCEPTED) {
      throw new IOException("only %d jobs were accepted".formatted(open.accepted()));
    }
    while (millis() < until && !(open.jobs().isEmpty() && open.idle().isEmpty())) {
      for (SoakJob job : open.jobs()) {
        clients.askState(job);
      }
      Thread.sleep(POLL_MILLIS);
      open = showOpen();
    }
  }

  private SoakEffect.Open showOpen() throws IOException, InterruptedException {
    return ask(handle -> new SoakEvent.ShowOpen(millis(), handle));
  }

  private SoakEffect.Open ask(LongFunction<SoakEvent> question)
      throws IOException, InterruptedException {
    SoakEffect.Report report = reports.query(handle -> post(question.apply(handle)), QUERY_TIMEOUT);
    if (report == null) {
      throw new IOException("the stand-in doesn't answer");
    }
    return report.open();
  }

  @Override
  public void close() throws Exception {
    clients.close();
    timer.shutdownNow();
    signals.shutdownNow();
    links.shutdownNow();
    entries.forEach(EntryProcess::close);
    for (FaultProxy proxy : proxies.values()) {
      proxy.close();
    }
    server.stop();
    loop.close();
    record.close();
  }
}
