package dev.toucanstall.core.node;

import dev.toucanstall.core.job.JobCall;
import dev.toucanstall.core.model.Address;
import org.jspecify.annotations.Nullable;

/** A client's call that waits for the planner's answer. Owned by the control thread. */
final class Pending {

  final JobCall call;

  /** When it came, steady milliseconds. */
  final long sinceMs;

  final long deadlineMs;

  /** Whom it was asked last, null if it waits for a planner. */
  @Nullable Address asked;

  /** Who was asked last and when, steady milliseconds, also if that planner is lost since. */
  @Nullable Address lastAsked;

  long lastAskedMs;

  /** Whether it is at this entry instance's own planner. */
  boolean planned;

  /** Whether a planner may have stored it without an answer. */
  boolean taken;

  /** Until when it waits for a planner that none has been asked. */
  long waitUntilMs;

  Pending(JobCall call, long sinceMs, long deadlineMs) {
    this.call = call;
    this.sinceMs = sinceMs;
    this.deadlineMs = deadlineMs;
  }

  /** Takes note that a planner is asked. */
  void ask(Address planner, long nowMs) {
    asked = planner;
    lastAsked = planner;
    lastAskedMs = nowMs;
  }

  /** The planner that was asked is lost; what it did is unknown. */
  void lose() {
    asked = null;
    planned = false;
    taken = true;
  }

  /** Tells whether no planner can have seen it. */
  boolean unsent() {
    return asked == null && !planned && !taken;
  }

  /** Tells whether it may take effect without an answer. */
  boolean uncertain() {
    return changes() && (taken || planned || asked != null);
  }

  /** Tells whether a second planner may be asked without a second effect, and must be. */
  boolean changes() {
    return call instanceof JobCall.Submit || call instanceof JobCall.Cancel;
  }
}
