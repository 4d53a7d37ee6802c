package dev.toucanstall.core.record;

import dev.toucanstall.core.model.Address;
import dev.toucanstall.core.model.DomainId;
import dev.toucanstall.core.model.InstanceId;

/**
 * Entry of an instance on the platform's list, with its condition. Immutable.
 *
 * @param id name of the instance
 * @param incarnation number of the start of the instance; a later start has a higher number
 * @param address address of the backend server
 * @param datacentre data centre
 * @param domain failure domain
 * @param slots maximum number of requests that the backend server runs at once
 * @param condition condition of the instance
 */
public record Observation(
    InstanceId id,
    long incarnation,
    Address address,
    String datacentre,
    DomainId domain,
    int slots,
    Condition condition) {

  /** Maximum number of slots of one instance. */
  public static final int MAX_SLOTS = 10_000;

  /**
   * Creates the observation.
   *
   * @throws IllegalArgumentException if {@code slots} is not in 0..{@value #MAX_SLOTS}
   */
  public Observation {
    if (slots < 0 || slots > MAX_SLOTS) {
      throw new IllegalArgumentException("slots %d are not in 0..%d".formatted(slots, MAX_SLOTS));
    }
  }
}
