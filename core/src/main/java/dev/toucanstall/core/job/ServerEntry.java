package dev.toucanstall.core.job;

import dev.toucanstall.core.model.Address;
import java.util.Set;

/**
 * What a backend server says of itself. Immutable.
 *
 * @param id one life of a backend server
 * @param startTimeMs when this life began, Unix milliseconds, 0 if not told
 * @param service the pool that it belongs to
 * @param address where it takes orders
 * @param dataCentre where it stands
 * @param draining whether it is about to leave
 * @param capacity what it has for tasks
 * @param labels its kind and its rack
 * @param serverClockMs its steady clock when it said so
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

  /** Copies the set. */
  public ServerEntry {
    labels = Set.copyOf(labels);
  }

  /**
   * Returns the entry of another life under the same id.
   *
   * @param otherBornMs when that life began, Unix milliseconds
   * @return the entry
   */
  public ServerEntry withIncarnation(long otherBornMs) {
    return new ServerEntry(
        id, otherBornMs, service, address, dataCentre, draining, capacity, labels, 0);
  }
}
