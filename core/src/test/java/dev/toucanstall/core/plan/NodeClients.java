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
final class NodeClients {

  /** Host name that the clients use. */
  static final String HOST = "h";

  /** Key that the clients present. */
  static final String KEY = "key";

  /** Time for which a client waits for an answer over all attempts, in milliseconds. */
  static final long DEADLINE_MS = 3_000;

  /** Most attempts of a request. */
  private static final int MAX_ATTEMPTS = 5;

  /** Network delay between a client and an entry instance, in milliseconds. */
  private static final long WAY_MS = 3;

  /**
   * Delay before another attempt, and before another delivery to a paused process, in
   * milliseconds.
   */
  private static final long RETRY_MS = 50;

  /** Delay before another attempt after a refusal, in milliseconds. */
  private static final long REFUSED_RETRY_MS = 500;

  /** Time that must be left for another attempt, in milliseconds. */
  private static final long LEAST_MS = 400;

  /** A request of a client with its attempts. */
  final class Call {

    /** Operation on the job. */
    final ClientCall.Kind kind;

    /** Path of the request; ends with the job's id. */
    final String path;

    /** Submitted job, null for other operations. */
    final @Nullable JobSpec spec;

    /** Time of the first attempt, in milliseconds of the steady clock. */
    final long firstMs;

    /** Attempts in their order. */
    final List<Attempt> attempts = new ArrayList<>();

    /** Last answer but {@link JobAnswer.Uncertain}, null if there is none. */
    @Nullable JobAnswer answer;

    Call(ClientCall.Kind kind, String path, @Nullable JobSpec spec) {
      this.kind = kind;
      this.path = path;
      this.spec = spec;
      this.firstMs = world.nowMs();
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
    private void send(NodeInstance to) {
      Attempt attempt = new Attempt(this, to, world.nowMs());
      attempts.add(attempt);
      attempt.send();
    }

    /**
     * Starts another attempt at another entry instance after a delay, if attempts and time are
     * left.
     */
    private void retry(long inMs) {
      if (attempts.size() < MAX_ATTEMPTS && leftMs() > inMs + LEAST_MS) {
        world.at(inMs, () -> send(world.anyReady(attempts.getLast().to)));
      }
    }

    /** Returns the time until the deadline, in milliseconds. */
    private long leftMs() {
      return firstMs + DEADLINE_MS - world.nowMs();
    }
  }

  /** Outcome of an attempt. */
  enum Outcome {
    /** Not known yet. */
    OPEN,

    /** The entry instance sent an answer. */
    ANSWERED,

    /** The connection ended without an answer, or could not be established. */
    BROKEN
  }

  /** A request on one connection. */
  final class Attempt {

    /** Request that this is an attempt of. */
    final Call of;

    /** Entry instance that receives the attempt. */
    final NodeInstance to;

    /** Time of sending, in milliseconds of the steady clock. */
    final long sentMs;

    /** Time for which the client waits for this attempt, in milliseconds. */
    final long waitMs;

    /** Outcome up to now. */
    Outcome outcome = Outcome.OPEN;

    /** Answer of the entry instance, null if there is none. */
    @Nullable JobAnswer answer;

    /** Whether the entry instance has read the request. */
    boolean read;

    /**
     * Time of the answer or of the end of the connection, in milliseconds of the steady clock; 0
     * while open.
     */
    long endedMs;

    Attempt(Call of, NodeInstance to, long sentMs) {
      this.of = of;
      this.to = to;
      this.sentMs = sentMs;
      this.waitMs = of.leftMs();
    }

    /** Returns the request as the entry instance reads it. */
    ClientCall call() {
      return new ClientCall(of.kind, HOST, of.path, KEY, waitMs, of.spec, "");
    }

    private void send() {
      world.at(WAY_MS, this::arrive);
    }

    /** Delivers the request; a paused process reads it later. */
    private void arrive() {
      if (to.gone) {
        broken();
      } else if (to.frozen()) {
        world.at(RETRY_MS, this::arrive);
      } else {
        read = true;
        to.read(this);
      }
    }

    /** Takes the answer that the entry instance sends. */
    void answered(JobAnswer with) {
      outcome = Outcome.ANSWERED;
      answer = with;
      endedMs = world.nowMs();
      world.at(WAY_MS, () -> received(with));
    }

    /** Takes the answer at the client, which tries again if the answer is not final. */
    private void received(JobAnswer with) {
      switch (with) {
        case JobAnswer.Uncertain uncertain -> of.retry(RETRY_MS);
        case JobAnswer.Refused refused -> {
          of.answer = refused;
          of.retry(REFUSED_RETRY_MS);
        }
        default -> of.answer = with;
      }
    }

    /** Takes the end of the connection. */
    void broken() {
      outcome = Outcome.BROKEN;
      endedMs = world.nowMs();
      world.at(WAY_MS, () -> of.retry(RETRY_MS));
    }
  }

  /** Simulation that the clients belong to. */
  private final NodeWorld world;

  /** Submissions by the job's id. */
  final Map<String, Call> submissions = new LinkedHashMap<>();

  /** All requests in the order of their first attempt. */
  final List<Call> calls = new ArrayList<>();

  NodeClients(NodeWorld world) {
    this.world = world;
  }

  /** Submits a job by a first attempt at an entry instance. */
  Call submit(NodeInstance to, String queue, String job, JobSpec spec) {
    Call call = call(to, ClientCall.Kind.SUBMIT, "/" + queue + "/" + job, spec);
    submissions.put(job, call);
    return call;
  }

  /** Queries a job's phase by a first attempt at an entry instance. */
  Call show(NodeInstance to, String queue, String job) {
    return call(to, ClientCall.Kind.SHOW, "/" + queue + "/" + job, null);
  }

  private Call call(NodeInstance to, ClientCall.Kind kind, String path, @Nullable JobSpec spec) {
    Call call = new Call(kind, path, spec);
    calls.add(call);
    call.send(to);
    return call;
  }

  /** Returns the attempts of all requests. */
  List<Attempt> attempts() {
    return calls.stream().flatMap(c -> c.attempts.stream()).toList();
  }
}
