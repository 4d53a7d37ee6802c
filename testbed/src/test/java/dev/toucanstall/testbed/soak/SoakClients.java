package dev.toucanstall.testbed.soak;

import dev.toucanstall.runtime.http.HttpServers;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpHeader;

/**
 * Clients that submit jobs, send submissions again and ask for states. Each stays with an entry
 * instance until a call there gets no response. Each client is a virtual thread. Thread-safe.
 */
final class SoakClients implements AutoCloseable {

  private static final int OK = 200;
  private static final int TOO_MANY = 429;
  private static final int SERVER_ERROR = 500;
  private static final long CALL_MILLIS = 3_000;
  private static final int TRIES = 5;
  private static final long MIN_PAUSE_MILLIS = 150;
  private static final long MAX_PAUSE_MILLIS = 700;
  private static final int MAX_LASTING_JOBS = 3;
  private static final int CPU = 300;

  private final HttpClient http = new HttpClient();
  private final List<EntryProcess> entries;
  private final Consumer<SoakEvent> post;
  private final LongSupplier clock;
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean stopped;

  private record Answer(int status, String body) {}

  /**
   * Creates clients, which send nothing yet.
   *
   * @param entries the entry instances
   * @param post takes what was sent and answered
   * @param clock returns the time since the start of the soak, in milliseconds
   */
  SoakClients(List<EntryProcess> entries, Consumer<SoakEvent> post, LongSupplier clock) {
    this.entries = entries;
    this.post = post;
    this.clock = clock;
    http.setExecutor(HttpServers.newThreadPool("clients"));
    http.setConnectTimeout(1_000);
    try {
      http.start();
    } catch (Exception e) {
      throw new IllegalStateException("the HTTP client of the clients did not start", e);
    }
  }

  /** Starts clients; each has a random source of its own. */
  void start(int count, long seed) {
    for (int i = 0; i < count; i++) {
      Random random = new Random(seed * 1_000 + i);
      int entry = i % entries.size();
      threads.add(Thread.ofVirtual().start(() -> run(new Caller(entry), random)));
    }
  }

  /** Waits until all clients have ended their last calls. */
  void stop() throws InterruptedException {
    stopped = true;
    for (Thread thread : threads) {
      thread.join();
    }
  }

  boolean isReady(EntryProcess entry) throws InterruptedException {
    return send(http.newRequest(entry.readinessUrl()), 1_000).status() == OK;
  }

  /** Asks for the state of a job at some instance until one answers or the tries are over. */
  void askState(SoakJob job) throws InterruptedException {
    new Caller((int) (clock.getAsLong() % entries.size())).askState(job);
  }

  private void run(Caller caller, Random random) {
    List<SoakJob> accepted = new ArrayList<>();
    int lasting = 0;
    try {
      while (!stopped) {
        boolean isLasting = lasting < MAX_LASTING_JOBS && random.nextInt(4) == 0;
        SoakJob job =
            new SoakJob(
                "%016x".formatted(random.nextLong()),
                SoakReducer.SERVICES.get(random.nextInt(SoakReducer.SERVICES.size())),
                1 + random.nextInt(4),
                isLasting ? 500 : 200 + random.nextInt(random.nextInt(4) == 0 ? 6_000 : 1_000),
                CPU,
                isLasting);
        post.accept(new SoakEvent.JobSent(clock.getAsLong(), job));
        if (caller.submit(job)) {
          accepted.add(job);
          lasting += isLasting ? 1 : 0;
        }
        if (!accepted.isEmpty()) {
          SoakJob known = accepted.get(random.nextInt(accepted.size()));
          if (random.nextInt(10) == 0) {
            caller.submit(known);
          } else {
            caller.askState(known);
          }
        }
        Thread.sleep(random.nextLong(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** A client and the entry instance that it is connected to. */
  private final class Caller {
    private int entry;

    Caller(int entry) {
      this.entry = entry;
    }

    /** Returns whether the job was accepted. */
    boolean submit(SoakJob job) throws InterruptedException {
      return call(
                  "POST",
                  job,
                  job.body(),
                  answer ->
                      post.accept(
                          new SoakEvent.JobAnswered(clock.getAsLong(), job.id(), answer.status())))
              .status()
          == OK;
    }

    void askState(SoakJob job) throws InterruptedException {
      Answer answer = call("GET", job, "", each -> {});
      String state = "";
      try {
        state = StoreRules.JSON.readTree(answer.body()).path("state").asText();
      } catch (IOException e) {
        // The status says that there is no state.
      }
      post.accept(new SoakEvent.StateAnswered(clock.getAsLong(), job.id(), answer.status(), state));
    }

    private Answer call(String method, SoakJob job, String body, Consumer<Answer> eachAnswer)
        throws InterruptedException {
      Answer answer = new Answer(0, "");
      for (int tries = 0; tries < TRIES; tries++) {
        Request request =
            http.newRequest(entries.get(entry).clientUrl() + job.path())
                .method(method)
                .headers(
                    headers ->
                        headers
                            .put(HttpHeader.HOST, SoakReducer.HOST)
                            .put("Key", SoakReducer.KEY)
                            .put("Deadline-Ms", Long.toString(CALL_MILLIS)));
        if (!body.isEmpty()) {
          request.body(new StringRequestContent("application/json", body));
        }
        answer = send(request, CALL_MILLIS);
        eachAnswer.accept(answer);
        boolean isFinal =
            answer.status() != 0 && answer.status() != TOO_MANY && answer.status() < SERVER_ERROR;
        if (isFinal) {
          return answer;
        }
        entry = (entry + 1) % entries.size();
        Thread.sleep(MIN_PAUSE_MILLIS);
      }
      return answer;
    }
  }

  /** Returns the answer, with status 0 if there was none. */
  private Answer send(Request request, long millis) throws InterruptedException {
    try {
      ContentResponse response = request.timeout(millis, TimeUnit.MILLISECONDS).send();
      return new Answer(response.getStatus(), response.getContentAsString());
    } catch (ExecutionException | TimeoutException e) {
      return new Answer(0, "");
    }
  }

  @Override
  public void close() throws Exception {
    stopped = true;
    threads.forEach(Thread::interrupt);
    http.stop();
  }
}
