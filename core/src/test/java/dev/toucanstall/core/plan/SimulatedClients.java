package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.JobAnswer;
import dev.toucanstall.core.job.JobSpec;
import dev.toucanstall.core.node.ClientCall;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Simulated clients. Each leaves its connection open until the process at the other end has
 * terminated, and sends a request without a final answer to another entry instance while there is
 * time.
 */
final class SimulatedClients {

  static final String HOST = "h";
  static final String KEY = "key";

  /** Time for which a client waits for an answer over all attempts, in milliseconds. */
  static final long DEADLINE_MS = 3_000;

  private static final long NETWORK_DELAY_MS = 3;

  /**
   * Delay before another attempt, and before another delivery to a paused process, in milliseconds.
   */
  private static final long RETRY_DELAY_MS = 50;

  private static final long REFUSED_RETRY_DELAY_MS = 500;

  /** Time that must be left for another attempt, in milliseconds. */
  private static final long MIN_ATTEMPT_MS = 400;

  /** A request of a client with its attempts. */
  final class Request {

    final ClientCall.Kind kind;

    /** Path of the request; ends with the job's id. */
    final String path;

    /** Submitted job, null for other operations. */
    final @Nullable JobSpec spec;

    final long startMs;
    final List<Attempt> attempts = new ArrayList<>();

    /** Last answer but {@link JobAnswer.Uncertain}, null if there is none. */
    @Nullable JobAnswer answer;

    Request(ClientCall.Kind kind, String path, @Nullable JobSpec spec) {
      this.kind = kind;
      this.path = path;
      this.spec = spec;
      this.startMs = sim.nowMs();
    }

    String job() {
      return path.substring(path.lastIndexOf('/') + 1);
    }

    boolean accepted() {
      return answer instanceof JobAnswer.Accepted;
    }

    private void send(SimulatedInstance instance) {
      Attempt attempt = new Attempt(this, instance, sim.nowMs());
      attempts.add(attempt);
      attempt.send();
    }

    /**
     * Starts another attempt at another entry instance after a delay, if attempts and time are
     * left.
     */
    private void retry(long delayMs) {
      if (attempts.size() < maxAttempts && remainingMs() > delayMs + MIN_ATTEMPT_MS) {
        sim.after(delayMs, () -> send(sim.anyReady(attempts.getLast().instance)));
      }
    }

    private long remainingMs() {
      return startMs + DEADLINE_MS - sim.nowMs();
    }
  }

  /** Outcome of an attempt. */
  enum Outcome {
    /** Not known yet. */
    OPEN,

    /** The entry instance sent an answer. */
    ANSWERED,

    /** The connection ended without an answer, or could not be established. */
    CONNECTION_LOST
  }

  /** A request on one connection. */
  final class Attempt {

    final Request request;
    final SimulatedInstance instance;
    final long sentMs;
    final long timeoutMs;
    Outcome outcome = Outcome.OPEN;

    /** Answer of the entry instance, null if there is none. */
    @Nullable JobAnswer answer;

    boolean wasRead;

    /**
     * Time of the answer or of the end of the connection, in milliseconds of the monotonic clock; 0
     * while open.
     */
    long endedMs;

    Attempt(Request request, SimulatedInstance instance, long sentMs) {
      this.request = request;
      this.instance = instance;
      this.sentMs = sentMs;
      this.timeoutMs = request.remainingMs();
    }

    ClientCall clientCall() {
      return new ClientCall(request.kind, HOST, request.path, KEY, timeoutMs, request.spec, "");
    }

    private void send() {
      sim.after(NETWORK_DELAY_MS, this::arrive);
    }

    /** Delivers the request; a paused process reads it later. */
    private void arrive() {
      if (instance.terminated) {
        connectionLost();
      } else if (instance.isPaused()) {
        sim.after(RETRY_DELAY_MS, this::arrive);
      } else {
        wasRead = true;
        instance.readRequest(this);
      }
    }

    void answerSent(JobAnswer reply) {
      outcome = Outcome.ANSWERED;
      answer = reply;
      endedMs = sim.nowMs();
      sim.after(NETWORK_DELAY_MS, () -> answerReceived(reply));
    }

    /** Takes the answer at the client, which tries again if the answer is not final. */
    private void answerReceived(JobAnswer reply) {
      switch (reply) {
        case JobAnswer.Uncertain uncertain -> request.retry(RETRY_DELAY_MS);
        case JobAnswer.Refused refused -> {
          request.answer = refused;
          request.retry(REFUSED_RETRY_DELAY_MS);
        }
        default -> request.answer = reply;
      }
    }

    void connectionLost() {
      outcome = Outcome.CONNECTION_LOST;
      endedMs = sim.nowMs();
      sim.after(NETWORK_DELAY_MS, () -> request.retry(RETRY_DELAY_MS));
    }
  }

  private final NodeSimulation sim;

  /** Most attempts of a request; 1 for clients that do not retry. */
  int maxAttempts = 5;

  final Map<String, Request> submissions = new LinkedHashMap<>();
  final List<Request> requests = new ArrayList<>();

  SimulatedClients(NodeSimulation sim) {
    this.sim = sim;
  }

  Request submit(SimulatedInstance instance, String queue, String job, JobSpec spec) {
    Request request = sendRequest(instance, ClientCall.Kind.SUBMIT, "/" + queue + "/" + job, spec);
    submissions.put(job, request);
    return request;
  }

  Request show(SimulatedInstance instance, String queue, String job) {
    return sendRequest(instance, ClientCall.Kind.SHOW, "/" + queue + "/" + job, null);
  }

  private Request sendRequest(
      SimulatedInstance instance, ClientCall.Kind kind, String path, @Nullable JobSpec spec) {
    Request request = new Request(kind, path, spec);
    requests.add(request);
    request.send(instance);
    return request;
  }

  List<Attempt> attempts() {
    return requests.stream().flatMap(request -> request.attempts.stream()).toList();
  }
}
