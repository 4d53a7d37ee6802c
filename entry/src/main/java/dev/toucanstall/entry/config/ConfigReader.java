package dev.toucanstall.entry.config;

import dev.toucanstall.core.model.Address;
import dev.toucanstall.core.model.DomainId;
import dev.toucanstall.core.model.KeyDigest;
import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.state.Timing;
import dev.toucanstall.entry.config.EntryConfig.Limits;
import dev.toucanstall.entry.config.EntryConfig.Tls;
import dev.toucanstall.wire.yaml.YamlFields;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/** Reads the settings file of an entry instance and finds all its errors. Stateless. */
public final class ConfigReader {

  private static final Address NO_ADDRESS = new Address("0.0.0.0", 1);
  private static final int MIN_SECRET = 16;
  private static final Limits DEFAULT_LIMITS = new Limits(16 << 10, 64 << 20, 10_000, 0, 30_000);

  private ConfigReader() {}

  /** The result of reading a settings file. */
  public sealed interface Result {

    /**
     * The file is right.
     *
     * @param config the settings
     */
    record Good(EntryConfig config) implements Result {}

    /**
     * The file is wrong.
     *
     * @param problems one line for each error
     */
    record Bad(List<String> problems) implements Result {}
  }

  /**
   * Reads a settings file.
   *
   * @param text its content
   * @return the settings or all errors
   */
  public static Result read(String text) {
    YamlFields fields = new YamlFields(text);
    EntryConfig config =
        new EntryConfig(
            fields.require("id", "a name", MemberId::new, new MemberId("none")),
            fields.require("datacentre", "a name", Function.identity(), ""),
            fields.require("domain", "a name", DomainId::new, new DomainId("none")),
            address(fields, "listen.callers"),
            address(fields, "listen.operators"),
            address(fields, "listen.peers"),
            fields.require("peer-secret", "16 characters or more", ConfigReader::secret, ""),
            digest(fields),
            url(fields, "platform.log"),
            url(fields, "platform.instances"),
            limits(fields),
            tls(fields),
            timing(fields));
    List<String> problems = fields.errors();
    return problems.isEmpty() ? new Result.Good(config) : new Result.Bad(problems);
  }

  private static Address address(YamlFields fields, String path) {
    return fields.require(path, "host:port", Address::parse, NO_ADDRESS);
  }

  private static String secret(String text) {
    if (text.length() < MIN_SECRET) {
      throw new IllegalArgumentException("secret is too short");
    }
    return text;
  }

  private static @Nullable String digest(YamlFields fields) {
    String text =
        fields.optional(
            "operator-token-sha256",
            "64 hexadecimal digits",
            given -> new KeyDigest(given).value(),
            "");
    return text.isEmpty() ? null : text;
  }

  private static String url(YamlFields fields, String path) {
    return fields.require(path, "an http URL", ConfigReader::httpUrl, "");
  }

  private static String httpUrl(String text) {
    URI uri = URI.create(text);
    if (!"http".equals(uri.getScheme()) || uri.getHost() == null) {
      throw new IllegalArgumentException("not an http URL");
    }
    return text.endsWith("/") ? text.substring(0, text.length() - 1) : text;
  }

  private static Limits limits(YamlFields fields) {
    return new Limits(
        (int) number(fields, "limits.header-bytes", DEFAULT_LIMITS.headerBytes()),
        number(fields, "limits.body-bytes", DEFAULT_LIMITS.bodyBytes()),
        (int) number(fields, "limits.connections", DEFAULT_LIMITS.connections()),
        number(fields, "limits.min-bytes-per-second", DEFAULT_LIMITS.minBytesPerSecond()),
        number(fields, "limits.default-deadline-ms", DEFAULT_LIMITS.defaultDeadlineMillis()));
  }

  private static long number(YamlFields fields, String path, long absent) {
    return fields.optional(path, "a whole number from 0", ConfigReader::natural, absent);
  }

  private static long natural(String text) {
    long number = Long.parseLong(text);
    if (number < 0) {
      throw new IllegalArgumentException("negative");
    }
    return number;
  }

  private static @Nullable Tls tls(YamlFields fields) {
    String certificate = fields.optional("tls.certificate", "a file", Function.identity(), "");
    String key = fields.optional("tls.key", "a file", Function.identity(), "");
    return certificate.isEmpty() ? null : new Tls(certificate, key);
  }

  private static Timing timing(YamlFields fields) {
    Timing normal = Timing.DEFAULT;
    return new Timing(
        millis(fields, "freshness-ms", normal.freshness()),
        millis(fields, "loan-lease-ms", normal.loanLease()),
        millis(fields, "max-deadline-ms", normal.maxDeadline()),
        millis(fields, "heartbeat-ms", normal.heartbeatInterval()),
        millis(fields, "evict-after-ms", normal.evictAfter()),
        millis(fields, "claim-window-ms", normal.claimWindow()),
        millis(fields, "resend-ms", normal.resendDelay()),
        millis(fields, "cut-off-grace-ms", normal.cutOffGrace()),
        millis(fields, "snapshot-every-ms", normal.snapshotInterval()),
        millis(fields, "down-after-ms", normal.downAfter()),
        millis(fields, "stop-wait-ms", normal.stopWait()),
        millis(fields, "stop-deadline-ms", normal.stopDeadline()));
  }

  private static long millis(YamlFields fields, String name, long absentNanos) {
    return fields.optional(
        "timing." + name,
        "milliseconds from 1",
        text -> Duration.ofMillis(positive(text)).toNanos(),
        absentNanos);
  }

  private static long positive(String text) {
    long number = Long.parseLong(text);
    if (number < 1) {
      throw new IllegalArgumentException("not positive");
    }
    return number;
  }
}
