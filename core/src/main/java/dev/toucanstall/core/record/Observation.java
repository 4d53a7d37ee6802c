package dev.toucanstall.core.record;

import dev.toucanstall.core.model.Address;
import dev.toucanstall.core.model.DomainId;
import dev.toucanstall.core.model.InstanceId;

/**
 * What the platform's list says of an instance.
 *
 * @param id the instance
 * @param incarnation which start of it this is
 * @param address where its backend server listens
 * @param datacentre its data centre
 * @param domain its failure domain
 * @param slots how many requests its backend server runs at once
 * @param condition whether it works
 */
public record Observation(
    InstanceId id,
    long incarnation,
    Address address,
    String datacentre,
    DomainId domain,
    int slots,
    Condition condition) {

  /** Most slots of one instance. */
  public static final int MAX_SLOTS = 10_000;

  /**
   * Creates the observation.
   *
   * @throws IllegalArgumentException if the slots are out of range
   */
  public Observation {
    if (slots < 0 || slots > MAX_SLOTS) {
      throw new IllegalArgumentException("slots %d are not in 0..%d".formatted(slots, MAX_SLOTS));
    }
  }
}
