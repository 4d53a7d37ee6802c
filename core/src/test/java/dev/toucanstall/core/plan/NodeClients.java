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
 * The clients: each keeps its open connection until the process is gone. Calls without a final
 * answer go to another entry instance while there is time.
 */
final class NodeClients {

  static final String HOST = "h";
  static final String KEY = "key";

  /** How long a client waits for an answer, in milliseconds. */
  static final long DEADLINE_MS = 3_000;

  private static final int MAX_ATTEMPTS = 5;
  private static final long WAY_MS = 3;
  private static final long RETRY_MS = 50;
  private static final long REFUSED_RETRY_MS = 500;

  /** Least time that is left for another attempt, in milliseconds. */
  private static final long LEAST_MS = 400;

  /** One call with its attempts. */
  final class Call {

    final ClientCall.Kind kind;
    final String path;
    final @Nullable JobSpec spec;
    final long firstMs;
    final List<Attempt> attempts = new ArrayList<>();
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

    boolean accepted() {
      return answer instanceof JobAnswer.Accepted;
    }

    private void send(NodeInstance to) {
      Attempt attempt = new Attempt(this, to, world.nowMs());
      attempts.add(attempt);
      attempt.send();
    }

    private void retry(long inMs) {
      if (attempts.size() < MAX_ATTEMPTS && leftMs() > inMs + LEAST_MS) {
        world.at(inMs, () -> send(world.anyReady(attempts.getLast().to)));
      }
    }

    private long leftMs() {
      return firstMs + DEADLINE_MS - world.nowMs();
    }
  }

  /** How an attempt ended. */
  enum Outcome {
    /** It has not ended. */
    OPEN,
    /** It got an answer. */
    ANSWERED,
    /** The connection ended without an answer, or could not be made. */
    BROKEN
  }

  /** One request on one connection. */
  final class Attempt {

    final Call of;
    final NodeInstance to;
    final long sentMs;
    final long waitMs;
    Outcome outcome = Outcome.OPEN;
    @Nullable JobAnswer answer;
    boolean read;
    long endedMs;

    Attempt(Call of, NodeInstance to, long sentMs) {
      this.of = of;
      this.to = to;
      this.sentMs = sentMs;
      this.waitMs = of.leftMs();
    }

    ClientCall call() {
      return new ClientCall(of.kind, HOST, of.path, KEY, waitMs, of.spec, "");
    }

    private void send() {
      world.at(WAY_MS, this::arrive);
    }

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

    void answered(JobAnswer with) {
      outcome = Outcome.ANSWERED;
      answer = with;
      endedMs = world.nowMs();
      world.at(WAY_MS, () -> received(with));
    }

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

    void broken() {
      outcome = Outcome.BROKEN;
      endedMs = world.nowMs();
      world.at(WAY_MS, () -> of.retry(RETRY_MS));
    }
  }

  private final NodeWorld world;
  final Map<String, Call> submissions = new LinkedHashMap<>();
  final List<Call> calls = new ArrayList<>();

  NodeClients(NodeWorld world) {
    this.world = world;
  }

  Call submit(NodeInstance to, String queue, String job, JobSpec spec) {
    Call call = call(to, ClientCall.Kind.SUBMIT, "/" + queue + "/" + job, spec);
    submissions.put(job, call);
    return call;
  }

  Call show(NodeInstance to, String queue, String job) {
    return call(to, ClientCall.Kind.SHOW, "/" + queue + "/" + job, null);
  }

  private Call call(NodeInstance to, ClientCall.Kind kind, String path, @Nullable JobSpec spec) {
    Call call = new Call(kind, path, spec);
    calls.add(call);
    call.send(to);
    return call;
  }

  /** Returns the attempts of all calls. */
  List<Attempt> attempts() {
    return calls.stream().flatMap(c -> c.attempts.stream()).toList();
  }
}
