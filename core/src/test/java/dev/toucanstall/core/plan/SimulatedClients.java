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
 * Simulated clients. Each keeps its connection open until the process at the other end has
 * terminated, and sends a request without a final answer to another entry instance while there is
 * time.
 */
final class SimulatedClients {

  /** Host name that the clients use. */
  static final String HOST = "h";

  /** Key that the clients present. */
  static final String KEY = "key";

  /** Time for which a client waits for an answer over all attempts, in milliseconds. */
  static final long DEADLINE_MS = 3_000;

  /** Most attempts of a request. */
  private static final int MAX_ATTEMPTS = 5;

  /** Network delay between a client and an entry instance, in milliseconds. */
  private static final long NETWORK_DELAY_MS = 3;

  /**
   * Delay before another attempt, and before another delivery to a paused process, in milliseconds.
   */
  private static final long RETRY_DELAY_MS = 50;

  /** Delay before another attempt after a refusal, in milliseconds. */
  private static final long REFUSED_RETRY_DELAY_MS = 500;

  /** Time that must be left for another attempt, in milliseconds. */
  private static final long MIN_ATTEMPT_MS = 400;

  /** A request of a client with its attempts. */
  final class Request {

    /** Operation on the job. */
    final ClientCall.Kind kind;

    /** Path of the request; ends with the job's id. */
    final String path;

    /** Submitted job, null for other operations. */
    final @Nullable JobSpec spec;

    /** Time of the first attempt, in milliseconds of the steady clock. */
    final long startMs;

    /** Attempts in their order. */
    final List<Attempt> attempts = new ArrayList<>();

    /** Last answer but {@link JobAnswer.Uncertain}, null if there is none. */
    @Nullable JobAnswer answer;

    Request(ClientCall.Kind kind, String path, @Nullable JobSpec spec) {
      this.kind = kind;
      this.path = path;
      this.spec = spec;
      this.startMs = sim.nowMs();
    }

    /** Returns the job's id. */
    String job() {
      return path.substring(path.lastIndexOf('/') + 1);
    }

    /** Tells whether the job was accepted. */
    boolean accepted() {
      return answer instanceof JobAnswer.Accepted;
    }

    /** Starts an attempt at an entry instance. */
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
      if (attempts.size() < MAX_ATTEMPTS && remainingMs() > delayMs + MIN_ATTEMPT_MS) {
        sim.after(delayMs, () -> send(sim.anyReady(attempts.getLast().instance)));
      }
    }

    /** Returns the time until the deadline, in milliseconds. */
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

    /** Request that this is an attempt of. */
    final Request request;

    /** Entry instance that receives the attempt. */
    final SimulatedInstance instance;

    /** Time of sending, in milliseconds of the steady clock. */
    final long sentMs;

    /** Time for which the client waits for this attempt, in milliseconds. */
    final long timeoutMs;

    /** Outcome up to now. */
    Outcome outcome = Outcome.OPEN;

    /** Answer of the entry instance, null if there is none. */
    @Nullable JobAnswer answer;

    /** Whether the entry instance has read the request. */
    boolean wasRead;

    /**
     * Time of the answer or of the end of the connection, in milliseconds of the steady clock; 0
     * while open.
     */
    long endedMs;

    Attempt(Request request, SimulatedInstance instance, long sentMs) {
      this.request = request;
      this.instance = instance;
      this.sentMs = sentMs;
      this.timeoutMs = request.remainingMs();
    }

    /** Returns the request as the entry instance reads it. */
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

    /** Takes the answer that the entry instance sends. */
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

    /** Takes the end of the connection. */
    void connectionLost() {
      outcome = Outcome.CONNECTION_LOST;
      endedMs = sim.nowMs();
      sim.after(NETWORK_DELAY_MS, () -> request.retry(RETRY_DELAY_MS));
    }
  }

  /** Simulation that the clients belong to. */
  private final NodeSimulation sim;

  /** Submissions by the job's id. */
  final Map<String, Request> submissions = new LinkedHashMap<>();

  /** All requests in the order of their first attempt. */
  final List<Request> requests = new ArrayList<>();

  SimulatedClients(NodeSimulation sim) {
    this.sim = sim;
  }

  /** Submits a job by a first attempt at an entry instance. */
  Request submit(SimulatedInstance instance, String queue, String job, JobSpec spec) {
    Request request = sendRequest(instance, ClientCall.Kind.SUBMIT, "/" + queue + "/" + job, spec);
    submissions.put(job, request);
    return request;
  }

  /** Queries a job's phase by a first attempt at an entry instance. */
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

  /** Returns the attempts of all requests. */
  List<Attempt> attempts() {
    return requests.stream().flatMap(request -> request.attempts.stream()).toList();
  }
}
