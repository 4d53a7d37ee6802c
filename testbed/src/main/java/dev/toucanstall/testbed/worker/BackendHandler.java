package dev.toucanstall.testbed.worker;

import dev.toucanstall.entry.traffic.Headers;
import dev.toucanstall.testbed.worker.WorkerState.Fault;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Objects;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/**
 * Handles requests to one stand-in for a backend server: sleeps, then answers with the length of
 * the received body. {@code ?ms=} sets the time to sleep in milliseconds, {@code ?bytes=} the
 * length of the answer. Thread-safe.
 */
final class BackendHandler extends Handler.Abstract {

  private static final Duration LATE_ANSWER_DELAY = Duration.ofSeconds(10);
  private static final int INTERNAL_SERVER_ERROR = 500;
  private static final int UNAVAILABLE = 503;

  private final int server;
  private final WorkersServer workers;
  private final long serviceMillis;

  BackendHandler(int server, WorkersServer workers, long serviceMillis) {
    this.server = server;
    this.workers = workers;
    this.serviceMillis = serviceMillis;
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) throws IOException {
    try {
      admitAndProcess(request, response, callback);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      callback.failed(e);
    }
    return true;
  }

  private void admitAndProcess(Request request, Response response, Callback callback)
      throws IOException, InterruptedException {
    String team = header(request, Headers.TEAM);
    boolean accepted =
        workers.request(h -> new WorkerEvent.RequestArrived(System.nanoTime(), h, server, team))
                instanceof WorkerEffect.Admission proceed
            && proceed.accepted()
            && process(request, response, callback, team, proceed.fault());
    if (!accepted) {
      response.setStatus(UNAVAILABLE);
      response.write(true, ByteBuffer.allocate(0), callback);
    }
  }

  private boolean process(
      Request request, Response response, Callback callback, String team, Fault fault)
      throws IOException, InterruptedException {
    long received;
    try (InputStream in = Content.Source.asInputStream(request)) {
      received = in.transferTo(OutputStream.nullOutputStream());
    }
    if (fault == Fault.FAIL) {
      ended(request, team, false);
      answer(request, response, callback, INTERNAL_SERVER_ERROR, "failed");
      return true;
    }
    long millis = longParameter(request, "ms", serviceMillis);
    Thread.sleep(fault == Fault.LATE ? LATE_ANSWER_DELAY.toMillis() : millis);
    ended(request, team, true);
    switch (fault) {
      case DROP -> callback.failed(new IOException("dropped by fault"));
      case TRUNCATE -> truncate(request, response, callback);
      case CROSS -> {
        response.getHeaders().put(Headers.ATTEMPT_ID, "another");
        response.write(true, ByteBuffer.wrap(new byte[] {'x'}), callback);
      }
      default -> answer(request, response, callback, 200, answerBody(request, received));
    }
    return true;
  }

  private void ended(Request request, String team, boolean completed) {
    String id = completed ? header(request, Headers.REQUEST_ID) : "";
    workers.post(new WorkerEvent.RequestEnded(System.nanoTime(), server, id, team));
  }

  private static String answerBody(Request request, long received) {
    long bytes = longParameter(request, "bytes", 0);
    String summary = "{\"received\":%d}\n".formatted(received);
    return bytes == 0 ? summary : "x".repeat((int) bytes);
  }

  private static void answer(
      Request request, Response response, Callback callback, int status, String body) {
    response.setStatus(status);
    response.getHeaders().put(Headers.ATTEMPT_ID, header(request, Headers.ATTEMPT_ID));
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
    response.write(true, ByteBuffer.wrap(body.getBytes(StandardCharsets.UTF_8)), callback);
  }

  private static void truncate(Request request, Response response, Callback callback) {
    response.getHeaders().put(Headers.ATTEMPT_ID, header(request, Headers.ATTEMPT_ID));
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, 1_000);
    response.write(
        false,
        ByteBuffer.wrap(new byte[500]),
        Callback.from(
            () -> callback.failed(new IOException("truncated by fault")), callback::failed));
  }

  private static String header(Request request, String name) {
    return Objects.requireNonNullElse(request.getHeaders().get(name), "");
  }

  private static long longParameter(Request request, String name, long defaultValue) {
    Fields fields = Request.extractQueryParameters(request);
    String text = fields.getValue(name);
    return text == null ? defaultValue : Long.parseLong(text);
  }
}
