package dev.toucanstall.entry.traffic;

import dev.toucanstall.core.event.Arrival;
import dev.toucanstall.core.model.KeyDigest;
import dev.toucanstall.core.model.RequestKey;
import dev.toucanstall.core.model.Urgency;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.HexFormat;
import java.util.Set;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.jspecify.annotations.Nullable;

/** Parses the path and headers of a caller's request. Immutable and thread-safe. */
final class RequestParser {

  /** Start of the path of every request to a service. */
  static final String SERVICE_PREFIX = "/s/";

  private static final String BEARER = "Bearer ";
  private static final Set<String> IDEMPOTENT_METHODS =
      Set.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE");

  private final long defaultTimeoutMillis;
  private final long maxTimeoutNanos;

  RequestParser(long defaultTimeoutMillis, long maxTimeoutNanos) {
    this.defaultTimeoutMillis = defaultTimeoutMillis;
    this.maxTimeoutNanos = maxTimeoutNanos;
  }

  /** Thrown for a malformed path or header; the message goes to the caller. */
  static final class MalformedRequestException extends Exception {

    private static final long serialVersionUID = 1L;

    MalformedRequestException(String message) {
      super(message);
    }
  }

  /** Returns the name of the service in a path such as {@code /s/price/v1/coat}. */
  static String serviceName(String path) throws MalformedRequestException {
    if (!path.startsWith(SERVICE_PREFIX)) {
      throw new MalformedRequestException(
          "The path does not start with \"%s\".".formatted(SERVICE_PREFIX));
    }
    int end = path.indexOf('/', SERVICE_PREFIX.length());
    String name = path.substring(SERVICE_PREFIX.length(), end < 0 ? path.length() : end);
    if (name.isEmpty()) {
      throw new MalformedRequestException("The path names no service.");
    }
    return name;
  }

  /**
   * Parses a request.
   *
   * @param replayable whether the body can be sent again
   * @param arrivedAt time of arrival, in nanoseconds of {@link System#nanoTime}
   */
  Arrival parse(String method, String path, HttpFields headers, boolean replayable, long arrivedAt)
      throws MalformedRequestException {
    return new Arrival(
        keyDigest(headers.get(HttpHeader.AUTHORIZATION)),
        serviceName(path),
        requestId(headers.get(Headers.REQUEST_ID)),
        idempotent(method, headers.get(Headers.IDEMPOTENT)),
        replayable,
        urgency(headers.get(Headers.URGENCY)),
        arrivedAt + timeoutNanos(headers.get(Headers.DEADLINE_MS)));
  }

  /** Returns the digest of the key in an Authorization header, null without the header. */
  static @Nullable KeyDigest keyDigest(@Nullable String authorization)
      throws MalformedRequestException {
    if (authorization == null) {
      return null;
    }
    if (!authorization.startsWith(BEARER) || authorization.length() == BEARER.length()) {
      throw new MalformedRequestException("Authorization does not have the form \"Bearer KEY\".");
    }
    return digest(authorization.substring(BEARER.length()));
  }

  /** Returns the SHA-256 digest of a key. */
  static KeyDigest digest(String key) {
    try {
      MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
      byte[] hash = sha256.digest(key.getBytes(StandardCharsets.UTF_8));
      return new KeyDigest(HexFormat.of().formatHex(hash));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 does not exist in this JDK", e);
    }
  }

  private static @Nullable String requestId(@Nullable String text)
      throws MalformedRequestException {
    if (text != null && !RequestKey.isRequestId(text)) {
      throw new MalformedRequestException(
          Headers.REQUEST_ID + " is not 1 to 128 visible ASCII characters.");
    }
    return text;
  }

  private static boolean idempotent(String method, @Nullable String text)
      throws MalformedRequestException {
    if (text == null) {
      return IDEMPOTENT_METHODS.contains(method);
    }
    if (!text.equals("true") && !text.equals("false")) {
      throw new MalformedRequestException(Headers.IDEMPOTENT + " is not true or false.");
    }
    return text.equals("true");
  }

  private static Urgency urgency(@Nullable String text) throws MalformedRequestException {
    if (text == null || text.equals("urgent")) {
      return Urgency.URGENT;
    }
    if (text.equals("batch")) {
      return Urgency.BATCH;
    }
    throw new MalformedRequestException(Headers.URGENCY + " is not urgent or batch.");
  }

  private long timeoutNanos(@Nullable String text) throws MalformedRequestException {
    long millis = defaultTimeoutMillis;
    if (text != null) {
      try {
        millis = Long.parseLong(text);
      } catch (NumberFormatException e) {
        throw new MalformedRequestException(Headers.DEADLINE_MS + " is not a whole number.");
      }
      if (millis < 1) {
        throw new MalformedRequestException(Headers.DEADLINE_MS + " is not positive.");
      }
    }
    long maxMillis = maxTimeoutNanos / Duration.ofMillis(1).toNanos();
    return Duration.ofMillis(Math.min(millis, maxMillis)).toNanos();
  }
}
