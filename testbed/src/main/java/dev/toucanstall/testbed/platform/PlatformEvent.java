package dev.toucanstall.testbed.platform;

import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.record.Condition;
import dev.toucanstall.core.record.Observation;

/** What happens to the stand-in for the platform. Times are monotonic nanoseconds. */
sealed interface PlatformEvent {

  /** Time has passed. */
  record Tick(long at) implements PlatformEvent {}

  /** A record is to be appended. */
  record Append(long at, long handle, String text) implements PlatformEvent {}

  /** Records are to be read, after waiting for some if there are none. */
  record Read(long at, long handle, long fromOffset, int maxRecords, long waitNanos)
      implements PlatformEvent {}

  /** An instance says that it is there, and how it is restarted. */
  record Register(long at, long handle, Observation observation, String controlUrl)
      implements PlatformEvent {}

  /** An instance's condition is announced, as for a planned end. */
  record AnnounceCondition(long at, long handle, InstanceId instance, Condition condition)
      implements PlatformEvent {}

  /** The list is asked for. */
  record ShowList(long at, long handle) implements PlatformEvent {}

  /** An instance is to be restarted. */
  record Restart(long at, long handle, InstanceId instance, long incarnation)
      implements PlatformEvent {}

  /** A fault begins. */
  record Fault(long at, long handle, String kind, long durationNanos) implements PlatformEvent {}
}
