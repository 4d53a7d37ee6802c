package dev.toucanstall.entry.config;

import dev.toucanstall.core.model.Address;
import dev.toucanstall.core.model.DomainId;
import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.state.Timing;
import org.jspecify.annotations.Nullable;

/**
 * The validated settings of an entry instance. Immutable.
 *
 * @param id id of the entry instance, unique among all entry instances
 * @param datacentre data centre of the entry instance
 * @param domain failure domain of the entry instance
 * @param callerAddress address to listen on for callers
 * @param operatorAddress address to listen on for operators, the load balancer and the metrics
 *     collector
 * @param peerAddress address to listen on for other entry instances
 * @param peerSecret secret shared by all entry instances, used to authenticate the links between
 *     them
 * @param operatorTokenDigest SHA-256 digest of the operators' token, in hexadecimal; null if no
 *     token is required
 * @param logUrl URL of the platform's log, without a slash at the end
 * @param listUrl URL of the platform's instance list and restart requests, without a slash at the
 *     end
 * @param limits limits for requests of callers
 * @param tls TLS settings for connections of callers, null for plain HTTP
 * @param timing durations on which the guarantees of the system depend, the same on all entry
 *     instances
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
   * Limits for requests of callers.
   *
   * @param headerBytes maximum size of all headers of a request, in bytes
   * @param bodyBytes maximum size of the body of a request, in bytes
   * @param connections maximum number of open connections
   * @param minBytesPerSecond minimum rate at which the body of a request must arrive, 0 for none
   * @param defaultDeadlineMillis time from arrival to the deadline of a request without a deadline
   *     header, in milliseconds
   */
  public record Limits(
      int headerBytes,
      long bodyBytes,
      int connections,
      long minBytesPerSecond,
      long defaultDeadlineMillis) {}

  /**
   * TLS settings for connections of callers.
   *
   * @param certificateFile path of the PEM file with the certificate chain
   * @param keyFile path of the PEM file with the private key, in PKCS #8
   */
  public record Tls(String certificateFile, String keyFile) {}

  @Override
  public String toString() {
    return "EntryConfig[%s, callers %s]".formatted(id, callerAddress);
  }
}
