package dev.toucanstall.core.state;

import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.record.Observation;
import org.pcollections.HashPMap;
import org.pcollections.HashTreePMap;

/**
 * What this entry instance last read on the platform's list.
 *
 * @param listed the instances on the last list
 * @param lastListedAt when each instance was last on the list, since this process started
 * @param readAt when the list was last read
 * @param everRead whether it ever was
 * @param planningDueAt when the next plans for the fleet are due
 */
public record PlatformListing(
    HashPMap<InstanceId, Observation> listed,
    HashPMap<InstanceId, Long> lastListedAt,
    long readAt,
    boolean everRead,
    long planningDueAt) {

  /** No list read yet. */
  public static final PlatformListing EMPTY =
      new PlatformListing(HashTreePMap.empty(), HashTreePMap.empty(), 0, false, 0);

  /**
   * Returns the listing with the time of the next plans.
   *
   * @param at the time
   * @return the new listing
   */
  public PlatformListing withPlanningDueAt(long at) {
    return new PlatformListing(listed, lastListedAt, readAt, everRead, at);
  }
}
