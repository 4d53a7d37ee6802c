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

  private static final long MAX_TIMEOUT_NANOS = Duration.ofSeconds(30).toNanos();

  private final RequestParser parser = new RequestParser(10_000, MAX_TIMEOUT_NANOS);

  private Arrival parse(String method, String path, String... headers)
      throws MalformedRequestException {
    HttpFields.Mutable fields = HttpFields.build();
    for (int i = 0; i < headers.length; i += 2) {
      fields.add(headers[i], headers[i + 1]);
    }
    return parser.parse(method, path, fields, true, 100);
  }

  private void assertMalformed(String path, String... headers) {
    assertThrows(MalformedRequestException.class, () -> parse("POST", path, headers));
  }

  @Test
  void readsServiceNameFromPath() throws MalformedRequestException {
    assertThat(parse("GET", "/s/price").serviceName()).isEqualTo("price");
    assertThat(parse("GET", "/s/price/v1/coat").serviceName()).isEqualTo("price");
  }

  @Test
  void rejectsPathWithoutService() {
    assertMalformed("/");
    assertMalformed("/s/");
    assertMalformed("/s//x");
    assertMalformed("/price");
  }

  @Test
  void appliesDefaultsForAbsentHeaders() throws MalformedRequestException {
    Arrival arrival = parse("POST", "/s/price");

    assertThat(arrival.keyDigest()).isNull();
    assertThat(arrival.requestId()).isNull();
    assertThat(arrival.urgency()).isEqualTo(Urgency.URGENT);
    assertThat(arrival.idempotent()).isFalse();
    assertThat(arrival.deadline()).isEqualTo(100 + Duration.ofSeconds(10).toNanos());
  }

  @Test
  void methodDeterminesIdempotenceUnlessHeaderIsSet() throws MalformedRequestException {
    assertThat(parse("GET", "/s/a").idempotent()).isTrue();
    assertThat(parse("GET", "/s/a", Headers.IDEMPOTENT, "false").idempotent()).isFalse();
    assertThat(parse("POST", "/s/a", Headers.IDEMPOTENT, "true").idempotent()).isTrue();
  }

  @Test
  void capsDeadlineAtMaximum() throws MalformedRequestException {
    assertThat(parse("GET", "/s/a", Headers.DEADLINE_MS, "9999999").deadline())
        .isEqualTo(100 + MAX_TIMEOUT_NANOS);
  }

  @Test
  void rejectsMalformedHeaders() {
    assertMalformed("/s/a", "Authorization", "Basic x");
    assertMalformed("/s/a", "Authorization", "Bearer ");
    assertMalformed("/s/a", Headers.REQUEST_ID, "two words");
    assertMalformed("/s/a", Headers.IDEMPOTENT, "maybe");
    assertMalformed("/s/a", Headers.URGENCY, "very");
    assertMalformed("/s/a", Headers.DEADLINE_MS, "-1");
    assertMalformed("/s/a", Headers.DEADLINE_MS, "soon");
  }

  @Test
  void keepsOnlyDigestOfKey() throws MalformedRequestException {
    Arrival arrival = parse("GET", "/s/a", "Authorization", "Bearer secret");

    assertThat(arrival.keyDigest()).isEqualTo(RequestParser.digest("secret"));
    assertThat(arrival.toString()).doesNotContain("secret");
  }
}
