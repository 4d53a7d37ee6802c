package dev.toucanstall.core.state;

import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.record.Observation;
import org.pcollections.HashPMap;
import org.pcollections.HashTreePMap;

/**
 * The platform's list of instances as this entry instance last read it. Immutable. Times are in
 * nanoseconds of the monotonic clock.
 *
 * @param listed instances on the last list
 * @param lastListedAt time at which each instance was last on the list since this process started
 * @param readAt time of the last read, 0 if there was none
 * @param everRead whether the list has been read at all
 * @param planningDueAt time at which changes of the fleet are planned next
 */
public record PlatformListing(
    HashPMap<InstanceId, Observation> listed,
    HashPMap<InstanceId, Long> lastListedAt,
    long readAt,
    boolean everRead,
    long planningDueAt) {

  /** Listing before the first read. */
  public static final PlatformListing EMPTY =
      new PlatformListing(HashTreePMap.empty(), HashTreePMap.empty(), 0, false, 0);

  /**
   * Returns a copy with the time at which changes of the fleet are planned next.
   *
   * @param dueAt the time
   * @return the new listing
   */
  public PlatformListing withPlanningDueAt(long dueAt) {
    return new PlatformListing(listed, lastListedAt, readAt, everRead, dueAt);
  }
}
