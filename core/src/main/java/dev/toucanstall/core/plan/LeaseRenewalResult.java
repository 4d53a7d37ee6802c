package dev.toucanstall.core.plan;

import dev.toucanstall.core.job.ActiveRun;
import dev.toucanstall.core.job.FinishedRun;
import java.util.List;

/** Result of a lease renewal, the call that also returns a backend server's lists of runs. */
public sealed interface LeaseRenewalResult {

  /**
   * Successful renewal.
   *
   * @param serverStartTimeMs start time of the answering incarnation, in Unix milliseconds, 0 if
   *     not reported
   * @param serverClockMs monotonic clock of the backend server, in milliseconds
   * @param running the runs that are present
   * @param finished the finished runs that the planner has not acknowledged, oldest first
   * @param complete whether each row of both lists could be read; else a run that they lack may
   *     exist
   */
  record Listed(
      long serverStartTimeMs,
      long serverClockMs,
      List<ActiveRun> running,
      List<FinishedRun> finished,
      boolean complete)
      implements LeaseRenewalResult {

    /** Creates a result with complete lists. */
    public Listed(
        long serverStartTimeMs,
        long serverClockMs,
        List<ActiveRun> running,
        List<FinishedRun> finished) {
      this(serverStartTimeMs, serverClockMs, running, finished, true);
    }
  }

  /**
   * Renewal that failed or whose answer was lost.
   *
   * @param outcome outcome of the call
   */
  record Failed(OrderResult outcome) implements LeaseRenewalResult {}
}
