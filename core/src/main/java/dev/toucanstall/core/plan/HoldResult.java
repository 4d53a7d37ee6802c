package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.RunningTask;
import dev.toucanstall.core.job.TaskEnd;
import java.util.List;

/** Result of a lease renewal, the call that also returns a backend server's lists of runs. */
public sealed interface HoldResult {

  /**
   * Successful renewal.
   *
   * @param bornMs start time of the answering incarnation, in Unix milliseconds, 0 if not reported
   * @param clockMs steady clock of the backend server, in milliseconds
   * @param running the runs that are present
   * @param ended the finished runs that the planner has not acknowledged, oldest first
   */
  record Listed(long bornMs, long clockMs, List<RunningTask> running, List<TaskEnd> ended)
      implements HoldResult {}

  /**
   * Renewal that failed or whose answer was lost.
   *
   * @param why outcome of the call
   */
  record Failed(OrderResult why) implements HoldResult {}
}
