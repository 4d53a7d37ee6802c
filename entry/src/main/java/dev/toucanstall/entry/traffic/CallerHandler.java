package dev.toucanstall.entry.traffic;

import dev.toucanstall.core.event.Event;
import dev.toucanstall.core.model.KeyDigest;
import dev.toucanstall.core.model.Refusal;
import dev.toucanstall.core.model.RefusalCode;
import dev.toucanstall.core.model.RequestKey;
import dev.toucanstall.entry.config.EntryConfig;
import dev.toucanstall.entry.traffic.LimitedInputStream.BodyTooLargeException;
import dev.toucanstall.entry.traffic.RequestParser.MalformedRequestException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.Objects;
import java.util.function.Consumer;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Handles requests of callers, each on a separate virtual thread. Thread-safe.
 *
 * <p>The thread of a request posts an event to the control thread and receives the decisions as
 * effects. The bytes of the body never pass through the control thread.
 */
public final class CallerHandler extends Handler.Abstract {

  private static final String REQUESTS_PREFIX = "/requests/";
  private static final int ACCEPTED = 202;

  private final HttpClient client;
  private final DecisionQueues decisionQueues;
  private final Consumer<Event> events;
  private final RequestParser parser;
  private final String servedBy;
  private final String attemptIdPrefix;
  private final long maxBodyBytes;

  /**
   * Creates the handler.
   *
   * @param config the settings
   * @param incarnation number of this start of the instance, part of the ids of attempts
   * @param client sends requests to backend servers
   * @param decisionQueues delivers the decisions about requests
   * @param events posts events to the control thread
   */
  public CallerHandler(
      EntryConfig config,
      long incarnation,
      HttpClient client,
      DecisionQueues decisionQueues,
      Consumer<Event> events) {
    this.client = client;
    this.decisionQueues = decisionQueues;
    this.events = events;
    this.parser =
        new RequestParser(config.limits().defaultDeadlineMillis(), config.timing().maxDeadline());
    this.servedBy = config.id().value();
    this.attemptIdPrefix = config.id().value() + "-" + incarnation + "-";
    this.maxBodyBytes = config.limits().bodyBytes();
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) throws IOException {
    response.getHeaders().put(Headers.SERVED_BY, servedBy);
    String path = Objects.requireNonNullElse(Request.getPathInContext(request), "/");
    try {
      if (request.getMethod().equals("DELETE") && path.startsWith(REQUESTS_PREFIX)) {
        cancel(request, response, callback, path.substring(REQUESTS_PREFIX.length()));
      } else {
        serve(request, response, callback, path);
      }
    } catch (MalformedRequestException e) {
      String detail = String.valueOf(e.getMessage());
      Problem.write(response, callback, Refusal.notRun(RefusalCode.REQUEST_MALFORMED, detail));
    } catch (BodyTooLargeException e) {
      Problem.write(
          response,
          callback,
          Refusal.notRun(
              RefusalCode.BODY_TOO_LARGE,
              "The body is larger than %d bytes.".formatted(maxBodyBytes)));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      callback.failed(e);
    }
    return true;
  }

  private void cancel(Request request, Response response, Callback callback, String requestId)
      throws MalformedRequestException {
    KeyDigest key = RequestParser.keyDigest(request.getHeaders().get(HttpHeader.AUTHORIZATION));
    if (key == null) {
      Problem.write(
          response, callback, Refusal.notRun(RefusalCode.KEY_MISSING, "No key was given."));
      return;
    }
    if (!RequestKey.isRequestId(requestId)) {
      throw new MalformedRequestException("The path names no request id.");
    }
    events.accept(new Event.CancelAsked(System.nanoTime(), key, requestId));
    response.setStatus(ACCEPTED);
    response.write(true, ByteBuffer.allocate(0), callback);
  }

  private void serve(Request request, Response response, Callback callback, String path)
      throws IOException, InterruptedException, MalformedRequestException {
    if (request.getLength() > maxBodyBytes) {
      throw new BodyTooLargeException();
    }
    long arrivedAt = System.nanoTime();
    RequestParser.serviceName(path); // rejects a malformed path before the body is read
    InputStream input = new LimitedInputStream(Content.Source.asInputStream(request), maxBodyBytes);
    RequestBody body = RequestBody.read(input, request.getHeaders());
    var arrival =
        parser.parse(
            request.getMethod(), path, request.getHeaders(), body.isReplayable(), arrivedAt);
    DecisionQueue decisions = new DecisionQueue();
    long number = decisionQueues.open(decisions);
    try {
      events.accept(new Event.RequestArrived(arrivedAt, number, arrival));
      new RequestExecution(
              client,
              events,
              decisions,
              number,
              attemptIdPrefix + number,
              arrival.deadline(),
              request,
              response,
              callback)
          .run(body);
    } finally {
      decisionQueues.close(number);
    }
  }
}
