package dev.toucanstall.entry.config;

import dev.toucanstall.core.model.Address;
import dev.toucanstall.core.model.DomainId;
import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.state.Timing;
import org.jspecify.annotations.Nullable;

/**
 * The checked settings of an entry instance. Immutable.
 *
 * @param id its name
 * @param datacentre its data centre
 * @param domain its failure domain
 * @param callerAddress where it listens to callers
 * @param operatorAddress where it listens to operators, the balancer and the metrics collector
 * @param peerAddress where it listens to peers
 * @param peerSecret the secret that all entry instances share
 * @param operatorTokenDigest the SHA-256 digest of the operators' token, null if none is asked for
 * @param logUrl the URL of the platform's log
 * @param listUrl the URL of the platform's instance list and task interface
 * @param limits the limits towards callers
 * @param tls TLS towards callers, null for plain HTTP
 * @param timing the durations that the promises rest on
 */
public record EntryConfig(
    MemberId id,
    String datacentre,
    DomainId domain,
    Address callerAddress,
    Address operatorAddress,
    Address peerAddress,
    String peerSecret,
    @Nullable String operatorTokenDigest,
    String logUrl,
    String listUrl,
    Limits limits,
    @Nullable Tls tls,
    Timing timing) {

  /**
   * The limits towards callers.
   *
   * @param headerBytes longest header of a request
   * @param bodyBytes longest body of a request
   * @param connections most connections of callers
   * @param minBytesPerSecond slowest sender of a body, 0 for no bound
   * @param defaultDeadlineMillis the deadline of a request that names none
   */
  public record Limits(
      int headerBytes,
      long bodyBytes,
      int connections,
      long minBytesPerSecond,
      long defaultDeadlineMillis) {}

  /**
   * TLS towards callers.
   *
   * @param certificateFile the PEM file of the certificate chain
   * @param keyFile the PEM file of the private key in PKCS 8
   */
  public record Tls(String certificateFile, String keyFile) {}

  @Override
  public String toString() {
    return "EntryConfig[%s, callers %s]".formatted(id, callerAddress);
  }
}
