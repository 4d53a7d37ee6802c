package dev.toucanstall.testbed.platform;

import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.record.Condition;
import dev.toucanstall.core.record.Observation;

/**
 * Event of the stand-in for the platform. {@code at} is the time of the event, in nanoseconds of
 * the monotonic clock; {@code handle} identifies the HTTP request that waits for a reply.
 */
sealed interface PlatformEvent {

  /** Periodic tick. */
  record Tick(long at) implements PlatformEvent {}

  /** Request to append a record to the log. */
  record Append(long at, long handle, String text) implements PlatformEvent {}

  /** Request to read records, which waits for up to {@code waitNanos} if there are none. */
  record Read(long at, long handle, long fromOffset, int maxRecords, long waitNanos)
      implements PlatformEvent {}

  /** Registration of an instance, with the URL of the host that restarts the instance. */
  record Register(long at, long handle, Observation observation, String controlUrl)
      implements PlatformEvent {}

  /** Request to announce the condition of an instance, such as a planned stop. */
  record AnnounceCondition(long at, long handle, InstanceId instance, Condition condition)
      implements PlatformEvent {}

  /** Request for the instance list. */
  record ShowList(long at, long handle) implements PlatformEvent {}

  /** Request to restart an instance unless it already runs a later incarnation. */
  record Restart(long at, long handle, InstanceId instance, long incarnation)
      implements PlatformEvent {}

  /** Request to inject a fault; an unknown kind ends all faults. */
  record Fault(long at, long handle, String kind, long durationNanos) implements PlatformEvent {}
}
