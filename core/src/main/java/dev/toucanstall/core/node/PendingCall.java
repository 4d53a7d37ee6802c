package dev.toucanstall.core.node;

import dev.toucanstall.core.job.JobCall;
import dev.toucanstall.core.model.Address;
import org.jspecify.annotations.Nullable;

/** A call of a client that waits for the planner's answer. Owned by the control thread. */
final class PendingCall {

  final JobCall call;

  /** Time at which the call arrived, in milliseconds of the monotonic clock. */
  final long arrivedMs;

  /** Time by which the call must be answered, in milliseconds of the monotonic clock. */
  final long deadlineMs;

  /** Remote planner whose answer is awaited, null if there is none. */
  @Nullable Address awaitedPlanner;

  /** Remote planner that the call was last sent to, even if it is lost; null if there was none. */
  @Nullable Address lastPlanner;

  /**
   * Time at which the call was last sent to a remote planner, in milliseconds of the monotonic
   * clock.
   */
  long lastSentMs;

  /** Whether the planner of this entry instance has the call. */
  boolean sentToLocalPlanner;

  /** Whether a planner that is lost or has been replaced may have stored the call's effect. */
  boolean maybeStored;

  /**
   * Time until which the call waits for a planner if none can have it, in milliseconds of the
   * monotonic clock.
   */
  long failoverDeadlineMs;

  PendingCall(JobCall call, long arrivedMs, long deadlineMs) {
    this.call = call;
    this.arrivedMs = arrivedMs;
    this.deadlineMs = deadlineMs;
  }

  /** Records that the call is sent to a remote planner. */
  void markSent(Address planner, long nowMs) {
    awaitedPlanner = planner;
    lastPlanner = planner;
    lastSentMs = nowMs;
  }

  /** Records that the planner that has the call is lost, so that the call's outcome is unknown. */
  void markPlannerLost() {
    awaitedPlanner = null;
    sentToLocalPlanner = false;
    maybeStored = true;
  }

  /** Returns whether no planner can have received the call. */
  boolean isUnsent() {
    return awaitedPlanner == null && !sentToLocalPlanner && !maybeStored;
  }

  /** Returns whether the call may have an effect that no answer has confirmed. */
  boolean isUncertain() {
    return changesJob() && (maybeStored || sentToLocalPlanner || awaitedPlanner != null);
  }

  /** Returns whether the call changes a job, so that it may have an effect without an answer. */
  boolean changesJob() {
    return call instanceof JobCall.Submit || call instanceof JobCall.Cancel;
  }
}
