package dev.toucanstall.core.job;

import dev.toucanstall.core.model.Address;
import java.util.Set;

/**
 * An entry of the list of backend servers, as the backend server reports it. Immutable.
 *
 * @param id the backend server's id
 * @param startTimeMs start time of the backend server's incarnation, in Unix milliseconds; 0 if not
 *     reported
 * @param service name of the service, and of its pool, that the backend server belongs to
 * @param address address at which the backend server accepts orders
 * @param dataCentre the data centre of the backend server
 * @param draining whether the backend server is draining and about to leave its pool
 * @param capacity resources that the backend server offers to tasks
 * @param labels labels of the backend server, among them its kind and its rack
 * @param serverClockMs the backend server's monotonic clock at the time of the report, in
 *     milliseconds; 0 if not reported
 */
public record ServerEntry(
    String id,
    long startTimeMs,
    String service,
    Address address,
    String dataCentre,
    boolean draining,
    Resources capacity,
    Set<String> labels,
    long serverClockMs) {

  /** Copies the set of labels. */
  public ServerEntry {
    labels = Set.copyOf(labels);
  }

  /**
   * Returns the entry of another incarnation with the same id, whose clock is unknown.
   *
   * @param otherStartTimeMs start time of the other incarnation, in Unix milliseconds
   * @return the entry of the other incarnation
   */
  public ServerEntry withIncarnation(long otherStartTimeMs) {
    return new ServerEntry(
        id, otherStartTimeMs, service, address, dataCentre, draining, capacity, labels, 0);
  }
}
