package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.ActiveRun;
import dev.toucanstall.core.job.FinishedRun;
import java.util.List;

/** What became of a call that renews a backend server's lease and lists its runs. */
public sealed interface LeaseRenewalResult {

  /**
   * The lists.
   *
   * @param serverStartTimeMs when the life that made them began, Unix milliseconds, 0 if not told
   * @param serverClockMs the backend server's clock
   * @param running the runs that are present
   * @param finished the ends that it was not told to forget, oldest first
   */
  record Listed(
      long serverStartTimeMs,
      long serverClockMs,
      List<ActiveRun> running,
      List<FinishedRun> finished)
      implements LeaseRenewalResult {}

  /**
   * There are no lists.
   *
   * @param outcome what became of the call
   */
  record Failed(OrderResult outcome) implements LeaseRenewalResult {}
}
