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

/** Parses the settings file of an entry instance and reports all errors at once. Stateless. */
public final class ConfigReader {

  /** Stands for a missing or malformed address in settings that are rejected anyway. */
  private static final Address PLACEHOLDER_ADDRESS = new Address("0.0.0.0", 1);

  private static final int MIN_SECRET_LENGTH = 16;
  private static final Limits DEFAULT_LIMITS = new Limits(16 << 10, 64 << 20, 10_000, 0, 30_000);

  private ConfigReader() {}

  /** The result of parsing a settings file. */
  public sealed interface Result {

    /**
     * The file has no errors.
     *
     * @param config the settings
     */
    record Valid(EntryConfig config) implements Result {}

    /**
     * The file has errors.
     *
     * @param problems one message for each error, never empty
     */
    record Invalid(List<String> problems) implements Result {}
  }

  /**
   * Parses a settings file.
   *
   * @param text the content of the file, in YAML
   * @return the settings, or all errors
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
            fields.require("peer-secret", "16 characters or more", ConfigReader::parseSecret, ""),
            operatorTokenDigest(fields),
            url(fields, "platform.log"),
            url(fields, "platform.instances"),
            limits(fields),
            tls(fields),
            timing(fields));
    List<String> problems = fields.errors();
    return problems.isEmpty() ? new Result.Valid(config) : new Result.Invalid(problems);
  }

  private static Address address(YamlFields fields, String path) {
    return fields.require(path, "host:port", Address::parse, PLACEHOLDER_ADDRESS);
  }

  private static String parseSecret(String text) {
    if (text.length() < MIN_SECRET_LENGTH) {
      throw new IllegalArgumentException("secret is too short");
    }
    return text;
  }

  private static @Nullable String operatorTokenDigest(YamlFields fields) {
    String text =
        fields.optional(
            "operator-token-sha256",
            "64 hexadecimal digits",
            hex -> new KeyDigest(hex).value(),
            "");
    return text.isEmpty() ? null : text;
  }

  private static String url(YamlFields fields, String path) {
    return fields.require(path, "an http URL", ConfigReader::parseHttpUrl, "");
  }

  private static String parseHttpUrl(String text) {
    URI uri = URI.create(text);
    if (!"http".equals(uri.getScheme()) || uri.getHost() == null) {
      throw new IllegalArgumentException("not an http URL");
    }
    return text.endsWith("/") ? text.substring(0, text.length() - 1) : text;
  }

  private static Limits limits(YamlFields fields) {
    return new Limits(
        (int) nonNegative(fields, "limits.header-bytes", DEFAULT_LIMITS.headerBytes()),
        nonNegative(fields, "limits.body-bytes", DEFAULT_LIMITS.bodyBytes()),
        (int) nonNegative(fields, "limits.connections", DEFAULT_LIMITS.connections()),
        nonNegative(fields, "limits.min-bytes-per-second", DEFAULT_LIMITS.minBytesPerSecond()),
        nonNegative(fields, "limits.default-deadline-ms", DEFAULT_LIMITS.defaultDeadlineMillis()));
  }

  private static long nonNegative(YamlFields fields, String path, long defaultValue) {
    return fields.optional(
        path, "a whole number from 0", ConfigReader::parseNonNegative, defaultValue);
  }

  private static long parseNonNegative(String text) {
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
    Timing defaults = Timing.DEFAULT;
    return new Timing(
        durationNanos(fields, "freshness-ms", defaults.freshness()),
        durationNanos(fields, "loan-lease-ms", defaults.loanLease()),
        durationNanos(fields, "max-deadline-ms", defaults.maxDeadline()),
        durationNanos(fields, "heartbeat-ms", defaults.heartbeatInterval()),
        durationNanos(fields, "evict-after-ms", defaults.evictAfter()),
        durationNanos(fields, "claim-window-ms", defaults.claimWindow()),
        durationNanos(fields, "resend-ms", defaults.resendDelay()),
        durationNanos(fields, "cut-off-grace-ms", defaults.cutOffGrace()),
        durationNanos(fields, "snapshot-every-ms", defaults.snapshotInterval()),
        durationNanos(fields, "down-after-ms", defaults.downAfter()),
        durationNanos(fields, "stop-wait-ms", defaults.stopWait()),
        durationNanos(fields, "stop-deadline-ms", defaults.stopDeadline()));
  }

  private static long durationNanos(YamlFields fields, String name, long defaultNanos) {
    return fields.optional(
        "timing." + name,
        "milliseconds from 1",
        text -> Duration.ofMillis(parsePositive(text)).toNanos(),
        defaultNanos);
  }

  private static long parsePositive(String text) {
    long number = Long.parseLong(text);
    if (number < 1) {
      throw new IllegalArgumentException("not positive");
    }
    return number;
  }
}
