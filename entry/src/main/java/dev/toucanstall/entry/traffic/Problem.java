package dev.toucanstall.entry.traffic;

import dev.toucanstall.core.model.Refusal;
import dev.toucanstall.wire.json.JsonCodec;
import java.time.Duration;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Writes refusals as {@code application/problem+json}. Stateless and thread-safe. */
final class Problem {

  private static final JsonCodec<Body> CODEC = JsonCodec.of(Body.class);
  private static final String TYPE_PREFIX = "urn:toucanstall:refusal:";

  private Problem() {}

  private record Body(
      String type, String title, int status, String detail, String code, String verdict) {}

  /** Writes a refusal as the whole response and completes the callback. */
  static void write(Response response, Callback callback, Refusal refusal) {
    int status = refusal.code().status();
    response.setStatus(status);
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/problem+json");
    response.getHeaders().put(Headers.VERDICT, refusal.verdict().text());
    if (refusal.retryAfterMillis() > 0) {
      long seconds = Math.max(1, Duration.ofMillis(refusal.retryAfterMillis()).toSeconds());
      response.getHeaders().put(HttpHeader.RETRY_AFTER, String.valueOf(seconds));
    }
    String code = refusal.code().text();
    Body body =
        new Body(
            TYPE_PREFIX + code,
            code.replace('-', ' '),
            status,
            refusal.detail(),
            code,
            refusal.verdict().text());
    Content.Sink.write(response, true, CODEC.encode(body), callback);
  }
}
