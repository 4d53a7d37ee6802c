package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.RunningTask;
import dev.toucanstall.core.job.TaskEnd;
import java.util.List;

/** What became of a call that renews a backend server's lease and lists its runs. */
public sealed interface HoldResult {

  /**
   * The lists.
   *
   * @param bornMs when the life that made them began, Unix milliseconds, 0 if not told
   * @param clockMs the backend server's clock
   * @param running the runs that are present
   * @param ended the ends that it was not told to forget, oldest first
   */
  record Listed(long bornMs, long clockMs, List<RunningTask> running, List<TaskEnd> ended)
      implements HoldResult {}

  /**
   * There are no lists.
   *
   * @param why what became of the call
   */
  record Failed(OrderResult why) implements HoldResult {}
}
