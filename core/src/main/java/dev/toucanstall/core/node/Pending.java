package dev.toucanstall.core.node;

import dev.toucanstall.core.job.JobCall;
import dev.toucanstall.core.model.Address;
import org.jspecify.annotations.Nullable;

/** A client's call that waits for the planner's answer. Owned by the control thread. */
final class Pending {

  final JobCall call;
  final long deadlineMs;

  /** Whom it was asked last, null if it waits for a planner. */
  @Nullable Address asked;

  /** Whether it is at this entry instance's own planner. */
  boolean planned;

  Pending(JobCall call, long deadlineMs) {
    this.call = call;
    this.deadlineMs = deadlineMs;
  }

  /** Tells whether a second planner may be asked without a second effect, and must be. */
  boolean changes() {
    return call instanceof JobCall.Submit || call instanceof JobCall.Cancel;
  }
}
