package dev.toucanstall.core.node;

import dev.toucanstall.core.job.JobCall;
import dev.toucanstall.core.model.Address;
import org.jspecify.annotations.Nullable;

/** A call of a client that waits for the planner's answer. Owned by the control thread. */
final class Pending {

  final JobCall call;

  /** Time at which the call arrived, in steady milliseconds. */
  final long sinceMs;

  /** Time by which the call must be answered, in steady milliseconds. */
  final long deadlineMs;

  /** Remote planner whose answer is awaited, null if there is none. */
  @Nullable Address asked;

  /** Remote planner that the call was last sent to, even if it is lost; null if there was none. */
  @Nullable Address lastAsked;

  /** Time at which the call was last sent to a remote planner, in steady milliseconds. */
  long lastAskedMs;

  /** Whether the planner of this entry instance has the call. */
  boolean planned;

  /** Whether a planner that is lost or has been replaced may have stored the call's effect. */
  boolean taken;

  /** Time until which the call waits for a planner if none can have it, in steady milliseconds. */
  long waitUntilMs;

  Pending(JobCall call, long sinceMs, long deadlineMs) {
    this.call = call;
    this.sinceMs = sinceMs;
    this.deadlineMs = deadlineMs;
  }

  /** Records that the call is sent to a remote planner. */
  void ask(Address planner, long nowMs) {
    asked = planner;
    lastAsked = planner;
    lastAskedMs = nowMs;
  }

  /** Records that the planner that has the call is lost, so that the call's outcome is unknown. */
  void lose() {
    asked = null;
    planned = false;
    taken = true;
  }

  /** Returns whether no planner can have received the call. */
  boolean unsent() {
    return asked == null && !planned && !taken;
  }

  /** Returns whether the call may have an effect that no answer has confirmed. */
  boolean uncertain() {
    return changes() && (taken || planned || asked != null);
  }

  /** Returns whether the call changes a job, so that it may have an effect without an answer. */
  boolean changes() {
    return call instanceof JobCall.Submit || call instanceof JobCall.Cancel;
  }
}
