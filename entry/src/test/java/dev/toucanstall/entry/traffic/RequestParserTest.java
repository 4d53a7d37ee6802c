package dev.toucanstall.entry.traffic;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.toucanstall.core.event.Arrival;
import dev.toucanstall.core.model.Urgency;
import dev.toucanstall.entry.traffic.RequestParser.MalformedRequestException;
import java.time.Duration;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Test;

final class RequestParserTest {

  private static final long MAX = Duration.ofSeconds(30).toNanos();

  private final RequestParser parser = new RequestParser(10_000, MAX);

  private Arrival parse(String method, String path, String... headers)
      throws MalformedRequestException {
    HttpFields.Mutable fields = HttpFields.build();
    for (int i = 0; i < headers.length; i += 2) {
      fields.add(headers[i], headers[i + 1]);
    }
    return parser.parse(method, path, fields, true, 100);
  }

  private void refuse(String path, String... headers) {
    assertThrows(MalformedRequestException.class, () -> parse("POST", path, headers));
  }

  @Test
  void pathNamesTheService() throws MalformedRequestException {
    assertThat(parse("GET", "/s/price").serviceName()).isEqualTo("price");
    assertThat(parse("GET", "/s/price/v1/coat").serviceName()).isEqualTo("price");
  }

  @Test
  void pathWithoutServiceIsMalformed() {
    refuse("/");
    refuse("/s/");
    refuse("/s//x");
    refuse("/price");
  }

  @Test
  void absentHeadersHaveDefaults() throws MalformedRequestException {
    Arrival arrival = parse("POST", "/s/price");

    assertThat(arrival.keyDigest()).isNull();
    assertThat(arrival.requestId()).isNull();
    assertThat(arrival.urgency()).isEqualTo(Urgency.URGENT);
    assertThat(arrival.idempotent()).isFalse();
    assertThat(arrival.deadline()).isEqualTo(100 + Duration.ofSeconds(10).toNanos());
  }

  @Test
  void methodDecidesIdempotenceUnlessMarked() throws MalformedRequestException {
    assertThat(parse("GET", "/s/a").idempotent()).isTrue();
    assertThat(parse("GET", "/s/a", Headers.IDEMPOTENT, "false").idempotent()).isFalse();
    assertThat(parse("POST", "/s/a", Headers.IDEMPOTENT, "true").idempotent()).isTrue();
  }

  @Test
  void deadlineIsBounded() throws MalformedRequestException {
    assertThat(parse("GET", "/s/a", Headers.DEADLINE_MS, "9999999").deadline())
        .isEqualTo(100 + MAX);
  }

  @Test
  void malformedHeadersAreRefused() {
    refuse("/s/a", "Authorization", "Basic x");
    refuse("/s/a", "Authorization", "Bearer ");
    refuse("/s/a", Headers.REQUEST_ID, "two words");
    refuse("/s/a", Headers.IDEMPOTENT, "maybe");
    refuse("/s/a", Headers.URGENCY, "very");
    refuse("/s/a", Headers.DEADLINE_MS, "-1");
    refuse("/s/a", Headers.DEADLINE_MS, "soon");
  }

  @Test
  void keyIsKnownByItsDigestOnly() throws MalformedRequestException {
    Arrival arrival = parse("GET", "/s/a", "Authorization", "Bearer secret");

    assertThat(arrival.keyDigest()).isEqualTo(RequestParser.digest("secret"));
    assertThat(arrival.toString()).doesNotContain("secret");
  }
}
